const UNSENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'EADDRNOTAVAIL',
]);

/** True if no connection could be made, so that nothing was sent. */
export function isUnsent(error: unknown): boolean {
  for (let current = error; current instanceof Error; current = current.cause) {
    if ('code' in current && typeof current.code === 'string' && UNSENT_CODES.has(current.code)) {
      return true;
    }
  }
  return false;
}
