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

// encodeRecord encodes a record: its CRC-32 checksum in hexadecimal, a space and its JSON.
func encodeRecord(v any) (string, error) {
	raw, err := json.Marshal(v)
	if err != nil {
		return "", fmt.Errorf("controlstate: %w", err)
	}
	return strconv.FormatUint(uint64(crc32.ChecksumIEEE(raw)), 16) + " " + string(raw), nil
}

var errChecksum = errors.New("checksum mismatch")

// recordPayload verifies the checksum of an encoded record and returns its JSON.
func recordPayload(text string) (string, error) {
	sum, raw, _ := strings.Cut(text, " ")
	want, err := strconv.ParseUint(sum, 16, 32)
	if err != nil || uint32(want) != crc32.ChecksumIEEE([]byte(raw)) {
		return "", errChecksum
	}
	return raw, nil
}

// decodeRecord verifies an encoded record and decodes it into v.
func decodeRecord(text string, v any) error {
	raw, err := recordPayload(text)
	if err != nil {
		return err
	}
	return json.Unmarshal([]byte(raw), v)
}

// A buntdb file is a sequence of commands in the Redis protocol, each an array of bulk
// strings.
const (
	setCommand = "*3\r\n$3\r\nset\r\n"
	delCommand = "*2\r\n$3\r\ndel\r\n"
)

// readBulkString reads one length-prefixed string; rest is nil if it is incomplete.
func readBulkString(raw []byte) (text, rest []byte) {
	header, after, ok := bytes.Cut(raw, []byte("\r\n"))
	if !ok || len(header) < 2 || header[0] != '$' {
		return nil, nil
	}
	n, err := strconv.Atoi(string(header[1:]))
	if err != nil || n < 0 || len(after) < n+2 || after[n] != '\r' || after[n+1] != '\n' {
		return nil, nil
	}
	return after[:n], after[n+2:]
}

// readCommand reads one command and returns what follows it. It returns nil if the command
// is incomplete, and errChecksum if it is complete but its record differs from what was
// written.
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
			return nil, nil // some of its blocks never reached the disk
		}
		return nil, err
	}
	return rest, nil
}

// maxFirstRecord is the maximum size of the first record of a store, in bytes.
const maxFirstRecord = 256

// validPrefix returns the length of the leading part of a store's file that consists of
// complete records. What follows may be one incomplete write; anything else is damage:
// every write is synced before the next, so a complete record can't follow an incomplete
// one.
func validPrefix(raw []byte) (int, error) {
	offset := 0
	for offset < len(raw) {
		rest, err := readCommand(raw[offset:])
		if err != nil {
			return 0, fmt.Errorf("record at byte %d: %v", offset, err)
		}
		if rest == nil {
			break
		}
		offset = len(raw) - len(rest)
	}
	neverWritten := len(raw) <= maxFirstRecord && bytes.IndexByte(raw, 0) >= 0 // power was lost before the first sync
	if offset == 0 && !neverWritten && !strings.HasPrefix(setCommand, string(raw[:min(len(raw), len(setCommand))])) {
		return 0, errors.New("not a control node's store")
	}
	for next := offset + 1; next < len(raw); next++ {
		i := bytes.Index(raw[next:], []byte(setCommand))
		if i < 0 {
			break
		}
		if next += i; next < len(raw) {
			if rest, err := readCommand(raw[next:]); err == nil && rest != nil {
				return 0, fmt.Errorf("unreadable record at byte %d, but a complete record follows at byte %d", offset, next)
			}
		}
	}
	return offset, nil
}
