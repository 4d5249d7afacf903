package main

import (
	"fmt"
	"strings"

	"corkcove/internal/rpc/meshpb"
)

type keyLine struct {
	Key     string  `json:"key"`
	Service string  `json:"service"`
	Route   string  `json:"route"`
	Width   uint32  `json:"width"`
	PerS    float64 `json:"readsPerS"`
	Nodes   uint32  `json:"nodes"`
	Since   string  `json:"since"`
	Why     string  `json:"why"`
}

type keySheet struct {
	Hot      []keyLine `json:"hot"`
	Widened  uint64    `json:"widened"`
	Narrowed uint64    `json:"narrowed"`
	Refused  uint64    `json:"refusedForWantOfPlaces"`
}

func sheetOf(m *meshpb.StatusResponse) keySheet {
	s := keySheet{Hot: []keyLine{}, Widened: m.GetHotCounts().GetWidened(), Narrowed: m.GetHotCounts().GetNarrowed(), Refused: m.GetHotCounts().GetRefused()}
	for _, k := range m.Hot {
		s.Hot = append(s.Hot, keyLine{fmt.Sprintf("%016x", k.Key), k.Service, k.Route, k.Width, k.PerS, k.Nodes, clock(k.SinceUs), k.Why})
	}
	return s
}

func (s keySheet) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d hot keys; since this master leads: %d widened, %d narrowed, %d times no place (hotSet.most)\n", len(s.Hot), s.Widened, s.Narrowed, s.Refused)
	if len(s.Hot) > 0 {
		fmt.Fprintf(&b, "\n%-18s %-14s %-16s %6s %-14s %s\n", "key", "service", "route", "width", "since", "why")
	}
	for _, k := range s.Hot {
		fmt.Fprintf(&b, "%-18s %-14s %-16s %6d %-14s %s\n", k.Key, k.Service, k.Route, k.Width, k.Since, k.Why)
	}
	return b.String()
}

// keys shows the master's hot keys; they are hashed with their service.
func (t *tool) keys() error {
	ss, err := t.status()
	if err != nil {
		return err
	}
	if !ss[0].Master {
		return fmt.Errorf("there is no master now, so the widths are not known")
	}
	s := sheetOf(ss[0])
	t.print(s, s.String())
	return nil
}
