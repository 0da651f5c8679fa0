package rpc_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"indigowalk/internal/kernel"
	"indigowalk/internal/rpc"
)

// pipeNet is a network with a single connection: Dial returns end, and Accept returns what in
// receives.
type pipeNet struct {
	kernel.Network
	end net.Conn      // the caller's end
	in  chan net.Conn // the callee's end
}

func (n pipeNet) Dial(context.Context, string, kernel.Micros) (net.Conn, error) { return n.end, nil }
func (n pipeNet) Listen(string) (net.Listener, error)                           { return n, nil }
func (n pipeNet) Addr() net.Addr                                                { return nil }

func (n pipeNet) Accept() (net.Conn, error) {
	if c, ok := <-n.in; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

func (n pipeNet) Close() error { return nil }

// parsedLine is a line of the protocol as these tests decode it, independently of the package's decoder.
type parsedLine struct {
	Hello *struct {
		From, To    string
		Life, Known int64
		Old         bool
	}
	ID   uint64
	Op   string
	Body json.RawMessage
}

// completeLines returns the terminated lines of the input, up to the first that is not
// valid.
func completeLines(input []byte) (lines []parsedLine) {
	for {
		raw, rest, ok := bytes.Cut(input, []byte{'\n'})
		var line parsedLine
		if !ok || json.Unmarshal(raw, &line) != nil {
			return lines
		}
		lines, input = append(lines, line), rest
	}
}

// writeInTwo writes the input in two pieces, cut at a place chosen by split, and closes the connection.
func writeInTwo(conn net.Conn, input []byte, split uint16) {
	cut := int(split) % (len(input) + 1)
	for _, piece := range [][]byte{input[:cut], input[cut:]} {
		if _, err := conn.Write(piece); err != nil {
			break
		}
		synctest.Wait()
	}
	conn.Close()
}

// Whatever a peer sends, every call returns, and it receives only the first line with its ID,
// and only if the connection began with a hello of the intended process and no malformed or
// unsolicited line precedes the response.
func FuzzResponses(f *testing.F) {
	hello, one, two := helloLine(other, self, 10)+"\n", `{"id":1,"body":"one"}`+"\n", `{"id":2,"body":"two"}`+"\n"
	for _, text := range []string{
		hello + one + two, hello + two + one, one + two, hello + one + one + two, hello + `{"id":3}` + "\n" + two, hello + one + two[:9],
		helloLine(third, self, 10) + "\n" + one, helloLine(other, third, 10) + "\n" + one, hello + "\n" + one, hello + hello + one,
		`{"hello":{"from":"10.0.0.2:7440","to":"10.0.0.1:7441","life":5,"known":9000000000000000000,"old":true}}` + "\n" + one,
		`{"hello":{"from":"10.0.0.2:7440","to":"10.0.0.1:7441","life":5,"known":1000000000000000,"old":true}}` + "\n" + one,
		hello + `{"id":1,"err":"no"}` + "\n" + `{"id":2,"op":"x","body":"two"}` + "\n", hello + `{"id":1,"id":2,"body":"one"}` + "\n",
	} {
		f.Add([]byte(text), uint16(len(text)/2))
	}
	f.Fuzz(func(t *testing.T, input []byte, split uint16) {
		synctest.Test(t, func(t *testing.T) {
			local, remote := net.Pipe()
			k := kernel.NewKernel("pooler", pipeNet{end: local}, slog.New(slog.DiscardHandler))
			endpoint := rpc.NewEndpoint(k, self)
			go io.Copy(io.Discard, remote)
			got := [3]string{}
			var wg sync.WaitGroup
			for id := 1; id <= 2; id++ {
				wg.Go(func() {
					var body string
					if endpoint.Call(t.Context(), other, "op", 1, &body, kernel.Second) == nil {
						got[id] = "=" + body
					}
				})
				synctest.Wait()
			}
			writeInTwo(remote, input, split)
			wg.Wait()
			endpoint.CloseConnections()
			time.Sleep(time.Minute)

			lines := completeLines(input)
			responses := map[uint64]bool{}
			for i, line := range lines {
				if i == 0 {
					if hello := line.Hello; hello == nil || hello.From != other || hello.To != self || hello.Old || hello.Life <= 0 {
						break
					}
					continue
				}
				if line.Hello != nil || line.Op != "" || line.ID < 1 || line.ID > 2 || responses[line.ID] {
					break
				}
				responses[line.ID] = true
				var body string
				if answer := got[line.ID]; answer != "" && (json.Unmarshal(line.Body, &body) != nil || answer != "="+body) {
					t.Errorf("call %d got %q from %s", line.ID, answer, line.Body)
				}
			}
			for id := uint64(1); id <= 2; id++ {
				if got[id] != "" && !responses[id] {
					t.Errorf("call %d got %q without a response", id, got[id])
				}
			}
		})
	})
}

// A peer that reads slowly must not delay a call beyond its timeout, nor fail a call with
// a longer timeout.
func TestSlowWriteDoesNotFailOtherCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local, remote := net.Pipe()
		endpoint := rpc.NewEndpoint(kernel.NewKernel("pooler", pipeNet{end: local}, slog.New(slog.DiscardHandler)), self)
		began := time.Now()
		call := func(wait kernel.Micros) (body string, took time.Duration, err error) {
			err = endpoint.Call(t.Context(), other, "op", 1, &body, wait)
			return body, time.Since(began), err
		}
		var wg sync.WaitGroup
		for caller := range 3 {
			wg.Go(func() {
				if caller == 1 { // between two with shorter timeouts
					if body, _, err := call(kernel.Second); body != "two" || err != nil {
						t.Errorf("call with the long timeout: response %q, error %v", body, err)
					}
				} else if _, took, err := call(100 * kernel.Millisecond); err == nil || took > 110*time.Millisecond {
					t.Errorf("call with the short timeout: error %v after %v", err, took)
				}
			})
			synctest.Wait()
		}
		time.Sleep(300 * time.Millisecond)
		go io.Copy(io.Discard, remote)
		remote.Write([]byte(helloLine(other, self, 10) + "\n"))
		synctest.Wait()
		remote.Write([]byte(`{"id":1,"body":"one"}` + "\n" + `{"id":2,"body":"two"}` + "\n"))
		wg.Wait()
		endpoint.CloseConnections()
		remote.Close()
		time.Sleep(time.Minute)
	})
}

// Whatever a caller sends, a call is executed only after a hello addressed to this process,
// and only if its ID is higher than that of every call before it, so that no call is executed
// twice. Every executed call gets a response or the connection closes.
func FuzzCalls(f *testing.F) {
	hello, one, two := helloLine(self, other, 10)+"\n", `{"id":1,"op":"op","body":1}`+"\n", `{"id":2,"op":"op","body":2}`+"\n"
	for _, text := range []string{
		hello + one + two, hello + two + one, hello + one + one, one + two, helloLine(self, third, 10) + "\n" + one, hello + hello + one,
		`{"hello":{"life":1}}` + "\n" + one, hello + `{"id":1}` + "\n", hello + `{"id":1,"op":"no"}` + "\n" + two, hello + one[:20],
		`{"hello":{"from":"10.0.0.1:7441","to":"10.0.0.2:7440","life":3,"known":1152921504606846975}}` + "\n" + one, hello + "[1]\n" + one,
	} {
		f.Add([]byte(text), uint16(len(text)/2))
	}
	f.Fuzz(func(t *testing.T, input []byte, split uint16) {
		synctest.Test(t, func(t *testing.T) {
			local, remote := net.Pipe()
			in := make(chan net.Conn, 1)
			in <- local
			k := kernel.NewKernel("control", pipeNet{in: in}, slog.New(slog.DiscardHandler))
			endpoint := rpc.NewEndpoint(k, other)
			var mu sync.Mutex
			ran := 0
			endpoint.Handle("op", func(context.Context, json.RawMessage) (any, error) {
				mu.Lock()
				defer mu.Unlock()
				ran++
				return ran, nil
			})
			go endpoint.Serve(t.Context())
			go io.Copy(io.Discard, remote)
			writeInTwo(remote, input, split)
			close(in)
			time.Sleep(time.Minute)

			allowed, lastID := 0, uint64(0)
			for i, line := range completeLines(input) {
				if i == 0 {
					if hello := line.Hello; hello == nil || hello.From != "" && hello.To != other || hello.Life <= 0 {
						break
					}
					continue
				}
				if line.Hello != nil || line.Op == "" || line.ID <= lastID {
					break
				}
				if lastID = line.ID; line.Op == "op" {
					allowed++
				}
			}
			mu.Lock()
			defer mu.Unlock()
			if ran > allowed {
				t.Errorf("%d calls ran, at most %d are allowed", ran, allowed)
			}
		})
	})
}
