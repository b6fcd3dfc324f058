const STATUS_SERVER_ERROR = 500;
/** Statuses that promise a caller that its request has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** True for a status that is wrong towards the caller of a request that has run. */
export function promisesNotRun(status: number): boolean {
  return NOT_RUN_STATUSES.has(status);
}

/** True if a target has failed the request that it ran and answered with this status. */
export function isFailedRun(status: number): boolean {
  return status >= STATUS_SERVER_ERROR || promisesNotRun(status);
}
