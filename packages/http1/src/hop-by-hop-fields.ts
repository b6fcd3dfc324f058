/**
 * Names, in lower case, of the fields that are not forwarded: the hop-by-hop fields (RFC 9110,
 * section 7.6.1), the framing fields, the fields for authentication at a proxy, and `expect`.
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

/** Splits the value of a Connection field into its options, in lower case. */
export function parseConnectionOptions(value: string): string[] {
  return value.toLowerCase().split(/[\s,]+/);
}
