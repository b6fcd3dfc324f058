import type { DaemonId } from '@daisyferry/model/member';

/**
 * Permission to run one non-idempotent call once. It names the only incarnation of a daemon that may
 * hand the call over to its target, and until when.
 */
export interface Ticket {
  readonly home: DaemonId;
  /** Expiry in ms since the epoch, on the clock of the daemon that minted the ticket. */
  readonly expiresAtMs: number;
  /** 128 random bits, in hexadecimal or base64url; the identity of the call. */
  readonly nonce: string;
}

/**
 * Creates a ticket for a home daemon; the nonce must be fresh random bits. The expiry is rounded
 * down, so that it never exceeds the lifetime.
 */
export function mintTicket(
  home: DaemonId,
  lifetimeMs: number,
  nonce: string,
  nowMs: number,
): Ticket {
  return { home, expiresAtMs: Math.floor(nowMs + lifetimeMs), nonce };
}
