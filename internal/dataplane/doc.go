// Package dataplane groups what the proxy of the system and the ingress in service share: reading and writing HTTP/1.1 (http1),
// clients' connections (client, ingress), the life of a request (attempt, engine), connections to servers (link, upstream), and
// small policies (retry, backoff, ceiling, odds), as well as records of use (usage). Its folders import one another and decision.
package dataplane
