package routeconfig

// Words of the configuration as it is sent, stored and passed between
// processes. They are frozen; each stands only here.
const (
	keyVersion       = "stamp"
	keyResources     = "resourceList"
	keyUpserts       = "upserts"
	keyRemovals      = "removals"
	keyVariant       = "variant"
	keyMetadata      = "metadata"
	keyName          = "name"
	keySpecification = "specification"

	keyHost          = "hostname"
	keyPathPrefix    = "pathPrefix"
	keyKind          = "bindingKind"
	keyTimeout       = "timeoutS"
	keyLatencyTarget = "targetS"
	keyPriority      = "rank"
	keyMaxAttempts   = "maxAttempts"
	keyService       = "serviceName"
	keySplit         = "weightedSplit"
	keyWeight        = "share"
	keyPolicy        = "policyText"
	keySessionKey    = "sessionKey"
	keyHotKey        = "hotKey"

	keyHealthCheckPath = "soundnessPath"
	keyMaxConnections  = "maxConns"
	keyProtocol        = "protocol"
	keyTLS             = "tlsMode"

	keyMaxHeaderBytes = "headerBytes"
	keyMaxBodyBytes   = "maxBodyBytes"
	keyHeaderTimeout  = "headerS"
	keyIdleTimeout    = "idleTimeoutS"
)

// Variants of resources.
const (
	variantRoute   = "bindingList"
	variantService = "serviceList"
	variantLimits  = "limitSet"
)

// variants lists them in the order that a patch names removals in.
var variants = []string{variantRoute, variantService, variantLimits}
