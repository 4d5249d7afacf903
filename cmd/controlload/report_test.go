package main

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestReportKeysMatchPreviousRelease checks that the JSON keys are those of the
// previous release, because scripts read the report by these keys.
func TestReportKeysMatchPreviousRelease(t *testing.T) {
	const usageKeys = `{"Seconds":0,"MasterCore":0,"OtherCore":0,"Node":0,"MasterMB":0,"OtherMB":0,"NodeMB":0,"NodeInKBs":0,"NodeOutKBs":0}`
	report, err := json.Marshal(loadReport{})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(report), qt.Equals, `{"Nodes":0,"Cores":0,"Services":0,"Routes":0,"StartS":0,"Quiet":`+usageKeys+
		`,"configEverywhereS":null,"ConfigUse":`+usageKeys+`,"viewEverywhereS":null,"Churn":`+usageKeys+
		`,"ChurnPerS":0,"restartedTenthKnownEverywhereS":0,"takeoverEverywhereS":0,"Missing":0}`)
}
