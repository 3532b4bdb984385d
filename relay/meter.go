package relay

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// meter holds the gateway's counters and histograms.
type meter struct {
	set               *metrics.Set
	storeFailures     *metrics.Counter
	peerSendFailures  *metrics.Counter
	attempts          *metrics.Counter
	retries           *metrics.Counter
	resumes           *metrics.Counter
	orders            *metrics.Counter
	reserveFailures   *metrics.Counter
	memoryUnused      *metrics.Counter
	reports           *metrics.Counter
	residualReports   *metrics.Counter
	spreadChoices     *metrics.Counter
	brokenExchanges   *metrics.Counter
	probes            *metrics.Counter
	crashes           *metrics.Counter
	quarantines       *metrics.Counter
	suspensions       *metrics.Counter
	restores          *metrics.Counter
	limitsAdvertised  *metrics.Counter
	limitsEnded       *metrics.Counter
	grants            *metrics.Counter
	limitRefusals     *metrics.Counter
	drainsAnnounced   *metrics.Counter
	backoffsRequested *metrics.Counter
	backoffRefusals   *metrics.Counter
	stalls            *metrics.Counter // streams without progress, whether they were cut or not
	stallsCut         *metrics.Counter
	slowReaders       *metrics.Counter // callers that were disconnected because they did not read
	heldRefusals      *metrics.Counter
	// connectionsRefused counts new connections that were closed unread because the processor was overloaded.
	connectionsRefused *metrics.Counter
	evacuated          *metrics.Gauge // number of evacuated data centres
	// configurationInvalid is 1 while the operators' entry cannot be used, as this gateway read it.
	configurationInvalid *metrics.Gauge
	firstByte            *metrics.Histogram
	requestTime          *metrics.Histogram
	waitTime             *metrics.Histogram
}

func newMeter(set *metrics.Set) *meter {
	return &meter{
		set:                  set,
		storeFailures:        set.NewCounter("relay_store_failures_total"),
		peerSendFailures:     set.NewCounter("relay_peer_send_failures_total"),
		attempts:             set.NewCounter("relay_sends_total"),
		retries:              set.NewCounter("relay_retries_total"),
		orders:               set.NewCounter("relay_orders_total"),
		reserveFailures:      set.NewCounter("relay_reserve_failures_total"),
		memoryUnused:         set.NewCounter("relay_memory_unused_total"),
		reports:              set.NewCounter("relay_reports_total"),
		residualReports:      set.NewCounter("relay_residual_reports_total"),
		spreadChoices:        set.NewCounter("relay_spread_choices_total"),
		brokenExchanges:      set.NewCounter("relay_broken_exchanges_total"),
		probes:               set.NewCounter("relay_crash_probes_total"),
		crashes:              set.NewCounter("relay_endpoint_crashes_total"),
		quarantines:          set.NewCounter("relay_quarantines_total"),
		suspensions:          set.NewCounter("relay_suspensions_total"),
		restores:             set.NewCounter("relay_store_restores_total"),
		limitsAdvertised:     set.NewCounter("relay_endpoint_limits_named_total"),
		limitsEnded:          set.NewCounter("relay_endpoint_limits_ended_total"),
		grants:               set.NewCounter("relay_limit_grants_total"),
		limitRefusals:        set.NewCounter("relay_limit_refusals_total"),
		drainsAnnounced:      set.NewCounter("relay_endpoint_leaves_told_total"),
		backoffsRequested:    set.NewCounter("relay_endpoint_rests_asked_total"),
		backoffRefusals:      set.NewCounter("relay_rest_refusals_total"),
		stalls:               set.NewCounter("relay_stream_stalls_total"),
		stallsCut:            set.NewCounter("relay_stream_stalls_cut_total"),
		slowReaders:          set.NewCounter("relay_slow_readers_total"),
		connectionsRefused:   set.NewCounter("relay_connections_refused_total"),
		heldRefusals:         set.NewCounter("relay_held_memory_refusals_total"),
		evacuated:            set.NewGauge("relay_evacuated_data_centres", nil),
		configurationInvalid: set.NewGauge("relay_configuration_invalid", nil),
		resumes:              set.NewCounter("relay_resumes_total"),
		firstByte:            set.NewHistogram("relay_first_event_seconds"),
		requestTime:          set.NewHistogram("relay_request_seconds"),
		waitTime:             set.NewHistogram("relay_wait_seconds"),
	}
}

// recordRequest counts a request by its outcome and records its duration.
func (m *meter) recordRequest(o outcome, started time.Time) {
	m.set.GetOrCreateCounter(`relay_requests_total{outcome="` + string(o) + `"}`).Inc()
	m.requestTime.UpdateDuration(started)
}
