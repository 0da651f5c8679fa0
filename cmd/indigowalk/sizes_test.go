package main

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const (
	maxFileLines     = 500 // lines
	maxFunctionLines = 60  // lines; tests may be longer, since many are tables
)

// TestSizes limits the length of files and functions, so that they stay easy to read.
func TestSizes(t *testing.T) {
	root := os.DirFS("../..")
	err := fs.WalkDir(root, ".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != ".go" {
			return err
		}
		source, err := fs.ReadFile(root, path)
		if err != nil {
			return err
		}
		if lines := bytes.Count(source, []byte("\n")); lines > maxFileLines {
			t.Errorf("%s has %d lines, over %d", path, lines, maxFileLines)
		}
		fileSet := token.NewFileSet()
		file, err := parser.ParseFile(fileSet, path, source, parser.SkipObjectResolution)
		if err != nil || strings.HasSuffix(path, "_test.go") {
			return err
		}
		for _, declaration := range file.Decls {
			function, ok := declaration.(*ast.FuncDecl)
			if !ok {
				continue
			}
			if lines := fileSet.Position(function.End()).Line - fileSet.Position(function.Pos()).Line + 1; lines > maxFunctionLines {
				t.Errorf("%s: %s has %d lines, over %d", path, function.Name.Name, lines, maxFunctionLines)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
