package routeconfig

// JSON keys of the configuration and of patches as they are stored and sent between
// processes. They must not change. Each is written only here, so that the rest of the
// code uses the standard terms.
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

// Variants of resources in the configuration; like the keys, they must not change.
const (
	variantRoute   = "bindingList"
	variantService = "serviceList"
	variantLimits  = "limitSet"
)

// variants lists all variants in the order of the removals in an encoded patch.
var variants = []string{variantRoute, variantService, variantLimits}
