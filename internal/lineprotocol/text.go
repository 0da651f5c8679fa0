package lineprotocol

import "strings"

// Verb is the operation that the text of a statement requests.
type Verb int

// Verbs that clients may send. Invalid stands for anything else.
const (
	Invalid    Verb = iota
	Begin           // begins a read-write transaction
	BeginFetch      // begins a read-only transaction
	Commit
	Abort
	Fetch  // reads
	Put    // writes
	Option // sets a value of the session
	Parse  // prepares a Fetch or Put under a name
	Run    // executes a prepared statement
	Close  // deletes a prepared statement
)

// Statement is a client's QUERY, parsed as far as the pooler needs it.
type Statement struct {
	ID   string // chosen by the client
	Text string // the unparsed text
	Verb Verb
	Name string // set for OPTION, PARSE, RUN and CLOSE
	Rest string // the text after the name, and after the kind for PARSE
	Kind Verb   // for PARSE: what the prepared statement does, Fetch or Put
}

// ParseStatement parses the text of the QUERY with the given ID. The verb is Invalid if the text is
// not one that clients may send.
func ParseStatement(id, text string) Statement {
	s := Statement{ID: id, Text: text}
	verb, rest, _ := strings.Cut(text, " ")
	switch verb {
	case "BEGIN":
		switch rest {
		case "":
			s.Verb = Begin
		case "FETCH":
			s.Verb = BeginFetch
		}
	case "COMMIT", "ABORT":
		if rest == "" {
			s.Verb = Abort
			if verb == "COMMIT" {
				s.Verb = Commit
			}
		}
	case "FETCH":
		if rest != "" {
			s.Verb = Fetch
		}
	case "PUT":
		if rest != "" {
			s.Verb = Put
		}
	case "OPTION", "RUN", "CLOSE":
		s.Name, s.Rest, _ = strings.Cut(rest, " ")
		if s.Name == "" || (verb != "CLOSE") == (s.Rest == "") {
			break
		}
		s.Verb = map[string]Verb{"OPTION": Option, "RUN": Run, "CLOSE": Close}[verb]
	case "PARSE":
		var kind string
		s.Name, rest, _ = strings.Cut(rest, " ")
		kind, s.Rest, _ = strings.Cut(rest, " ")
		if s.Name == "" || s.Rest == "" {
			break
		}
		switch kind {
		case "FETCH":
			s.Verb, s.Kind = Parse, Fetch
		case "PUT":
			s.Verb, s.Kind = Parse, Put
		}
	}
	return s
}

// KindName returns the protocol's word for the kind of a prepared statement, Fetch or Put.
func KindName(kind Verb) string {
	if kind == Put {
		return "PUT"
	}
	return "FETCH"
}
