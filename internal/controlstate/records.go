package controlstate

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"strconv"
	"strings"
)

// encodeRecord is how a record is written: its checksum, a blank and its JSON.
func encodeRecord(v any) (string, error) {
	raw, err := json.Marshal(v)
	if err != nil {
		return "", fmt.Errorf("controlstate: %w", err)
	}
	return strconv.FormatUint(uint64(crc32.ChecksumIEEE(raw)), 16) + " " + string(raw), nil
}

var errChecksum = errors.New("fails its checksum")

// recordPayload returns what a record holds.
func recordPayload(text string) (string, error) {
	sum, raw, _ := strings.Cut(text, " ")
	want, err := strconv.ParseUint(sum, 16, 32)
	if err != nil || uint32(want) != crc32.ChecksumIEEE([]byte(raw)) {
		return "", errChecksum
	}
	return raw, nil
}

func decodeRecord(text string, v any) error {
	raw, err := recordPayload(text)
	if err != nil {
		return err
	}
	return json.Unmarshal([]byte(raw), v)
}

// A buntdb file is a row of commands, each an array of counted strings.
const (
	setCommand = "*3\r\n$3\r\nset\r\n"
	delCommand = "*2\r\n$3\r\ndel\r\n"
)

// readBulkString reads one readBulkString string; rest is nil if it is not there in full.
func readBulkString(raw []byte) (text, rest []byte) {
	head, after, ok := bytes.Cut(raw, []byte("\r\n"))
	if !ok || len(head) < 2 || head[0] != '$' {
		return nil, nil
	}
	n, err := strconv.Atoi(string(head[1:]))
	if err != nil || n < 0 || len(after) < n+2 || after[n] != '\r' || after[n+1] != '\n' {
		return nil, nil
	}
	return after[:n], after[n+2:]
}

// readCommand reads one readCommand off raw. It returns nil if none is there in full,
// and errChecksum if one is whose record is not what was written.
func readCommand(raw []byte) (rest []byte, err error) {
	if after, ok := bytes.CutPrefix(raw, []byte(delCommand)); ok {
		_, rest = readBulkString(after)
		return rest, nil
	}
	after, ok := bytes.CutPrefix(raw, []byte(setCommand))
	if !ok {
		return nil, nil
	}
	if _, after = readBulkString(after); after == nil {
		return nil, nil
	}
	text, rest := readBulkString(after)
	if rest == nil {
		return nil, nil
	}
	if _, err := recordPayload(string(text)); err != nil {
		if bytes.IndexByte(text, 0) >= 0 {
			return nil, nil // blocks of it were never written
		}
		return nil, err
	}
	return rest, nil
}

// maxFirstRecord is what the first record of a store takes at most.
const maxFirstRecord = 256

// validPrefix returns how much of a store's file is whole records. What follows
// may be one unfinished write; anything else is damage: every write is synced
// before the next, so a whole record can't stand behind one that is not.
func validPrefix(raw []byte) (int, error) {
	at := 0
	for at < len(raw) {
		rest, err := readCommand(raw[at:])
		if err != nil {
			return 0, fmt.Errorf("the record at byte %d %v", at, err)
		}
		if rest == nil {
			break
		}
		at = len(raw) - len(rest)
	}
	neverWritten := len(raw) <= maxFirstRecord && bytes.IndexByte(raw, 0) >= 0 // power went before the first sync
	if at == 0 && !neverWritten && !strings.HasPrefix(setCommand, string(raw[:min(len(raw), len(setCommand))])) {
		return 0, errors.New("is not a store of a control node")
	}
	for next := at + 1; next < len(raw); next++ {
		i := bytes.Index(raw[next:], []byte(setCommand))
		if i < 0 {
			break
		}
		if next += i; next < len(raw) {
			if rest, err := readCommand(raw[next:]); err == nil && rest != nil {
				return 0, fmt.Errorf("unreadable from byte %d, and a whole record follows at byte %d", at, next)
			}
		}
	}
	return at, nil
}
