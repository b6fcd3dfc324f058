import type { DaemonId } from '@daisyferry/model/member';

/**
 * Permission to run one non-idempotent call once. It names the only run of a daemon that may hand
 * the call to its target, and the time until which it may.
 */
export interface Ticket {
  readonly home: DaemonId;
  /** End of use, in ms since the epoch on the clock of the daemon that minted the ticket. */
  readonly expiresAtMs: number;
  /** 128 random bits, in hexadecimal or base64url; the identity of the call. */
  readonly nonce: string;
}

/**
 * Makes a ticket for a home daemon; the nonce must be fresh random bits. Its expiry is never later
 * than the lifetime allows.
 */
export function mintTicket(
  home: DaemonId,
  lifetimeMs: number,
  nonce: string,
  nowMs: number,
): Ticket {
  return { home, expiresAtMs: Math.floor(nowMs + lifetimeMs), nonce };
}
