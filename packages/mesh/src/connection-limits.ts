/** Descriptors that a process needs beside its connections. */
const OTHER_DESCRIPTORS = 200;
/** Share of the connections that callers may have; the rest is for targets, peers and the store. */
const CALLER_SHARE = 0.55;
/** Share of the connections whose other side has not introduced itself as a daemon. */
const STRANGER_SHARE = 0.2;
/** Share of the connections of each listener of the platform and the local target. */
const CONTROL_SHARE = 0.02;
const MIN_CALLERS = 16;
const MIN_STRANGERS = 16;
const MIN_CONTROL = 8;
const MAX_CONTROL = 64;

/** The greatest numbers of connections that a process keeps open, by the listener. */
export interface ConnectionLimits {
  readonly callers: number;
  /** Connections for other daemons without a hello; those with one are as many as the fleet has. */
  readonly strangers: number;
  /** Of each further listener: announcements, readiness and metrics. */
  readonly control: number;
}

/**
 * Divides the descriptors of a process. `maxCallers` replaces the part of the callers; undefined for
 * the default.
 */
export function connectionLimits(
  descriptorLimit: number,
  maxCallers: number | undefined = undefined,
): ConnectionLimits {
  const connections = Math.max(0, descriptorLimit - OTHER_DESCRIPTORS);
  const share = (part: number) => Math.floor(connections * part);
  return {
    callers: maxCallers ?? Math.max(MIN_CALLERS, share(CALLER_SHARE)),
    strangers: Math.max(MIN_STRANGERS, share(STRANGER_SHARE)),
    control: Math.min(MAX_CONTROL, Math.max(MIN_CONTROL, share(CONTROL_SHARE))),
  };
}
