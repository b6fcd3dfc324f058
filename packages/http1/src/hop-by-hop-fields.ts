/**
 * Names, in lower case, of the hop-by-hop fields (RFC 9110, section 7.6.1) and of the framing
 * fields, which are not forwarded.
 */
export const HOP_BY_HOP_FIELDS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'content-length',
  'expect',
]);
