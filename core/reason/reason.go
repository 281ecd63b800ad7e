package reason

// Reason names why a call was refused or retried; each has its own counter.
type Reason string

// The reasons for a refusal or a retry.
const (
	None         Reason = ""
	UnknownRoute Reason = "unknownRoute"
	KeyMissing   Reason = "keyMissing"
	KeyMalformed Reason = "keyMalformed"
	KeyUnknown   Reason = "keyUnknown"
	KeyWithdrawn Reason = "keyWithdrawn"
	// HandleUnknown means that a deeper call names the handle of no running call.
	HandleUnknown Reason = "handleUnknown"
	RateExceeded  Reason = "rateExceeded"
	// ShareUnavailable means that no token of the account's rate is leased to the node.
	ShareUnavailable Reason = "shareUnavailable"
	NoConfiguration  Reason = "noConfiguration"
	// CutOff means that the node, or its data centre, has been without contact for too long to serve calls with a key.
	CutOff Reason = "cutOff"
	// BodiesFull means that the bodies of other requests take all the memory that a host has for them.
	BodiesFull    Reason = "bodiesFull"
	BodyTooLarge  Reason = "bodyTooLarge"
	BodyTruncated Reason = "bodyTruncated"
	// HeaderInvalid means that a header cannot be parsed, or that its idempotency key was used for a call with other
	// content.
	HeaderInvalid    Reason = "headerInvalid"
	DeadlineExceeded Reason = "deadlineExceeded"
	// DeadlineTooShort means that the expected wait and service time exceed the time left to the deadline.
	DeadlineTooShort Reason = "deadlineTooShort"
	Cancelled        Reason = "cancelled"
	NoBackendServer  Reason = "noBackendServer"
	// NoAllowedRegion means that the regions in which the call may run have no member of the service, or that the gate is
	// outside them.
	NoAllowedRegion Reason = "noAllowedRegion"
	// DeeperLimit means that too many deeper calls to the service are in flight.
	DeeperLimit Reason = "deeperLimit"
	// SlotsInUse means that no slot is free and the call must not be queued.
	SlotsInUse   Reason = "slotsInUse"
	QueueFull    Reason = "queueFull"
	QueueTimeout Reason = "queueTimeout"
	// Shed means that the call lost its place in the queue, to a call that precedes it or because the queue was
	// shortened.
	Shed Reason = "shed"
	// AdmissionLevel means that the priority of the call is below the admission level, and that its account uses up its
	// guaranteed places in the queue.
	AdmissionLevel    Reason = "admissionLevel"
	Draining          Reason = "draining"
	Quarantined       Reason = "quarantined"
	BackendServerDown Reason = "backendServerDown"
	// BackendServerCold means that the backend server is cold and has received as many calls as it can handle meanwhile.
	BackendServerCold Reason = "backendServerCold"
	// DataCentreEvacuated means that the operators evacuate the data centre of the backend server, or those of all backend
	// servers of the service.
	DataCentreEvacuated Reason = "dataCentreEvacuated"
	// EvacuationUnknown means that the node has just started and does not know yet which data centres are evacuated.
	EvacuationUnknown Reason = "evacuationUnknown"
	// BackendServerFailed means that the connection to the backend server failed after the call was sent.
	BackendServerFailed Reason = "backendServerFailed"
	// BackendServerError means that the backend server answered an idempotent call with an error of its own.
	BackendServerError Reason = "backendServerError"
	// BackendServerShed means that the backend server itself refused the call without running it.
	BackendServerShed Reason = "backendServerShed"
	// BackendServerMoved means that the process at the address is no longer the announced backend server.
	BackendServerMoved Reason = "backendServerMoved"
	PeerUnreachable    Reason = "peerUnreachable"
	AnswerTruncated    Reason = "answerTruncated"
	// AnswerMismatched means that the answer does not belong to the call or does not come from the backend server.
	AnswerMismatched Reason = "answerMismatched"
	AllowanceSpent   Reason = "allowanceSpent"
	RetryBudgetSpent Reason = "retryBudgetSpent"
	// RepeatInProgress means that the first delivery of the call had not ended when the duplicate's time was over.
	RepeatInProgress Reason = "repeatInProgress"
	// RepeatUnresolved means that the call ran and its answer is no longer stored.
	RepeatUnresolved Reason = "repeatUnresolved"
	// NotHome means that another member owns the idempotency key.
	NotHome Reason = "notHome"
	// HomeLost means that the call may have run at a member that no longer remembers it, or that has left.
	HomeLost      Reason = "homeLost"
	DepthExceeded Reason = "depthExceeded"
	// KeyMisplaced means that the caller's key also appears in a part of the request that is sent to the backend
	// server.
	KeyMisplaced Reason = "keyMisplaced"
	Internal     Reason = "internal"
)
