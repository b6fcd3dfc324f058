import { createHmac, createSecretKey, timingSafeEqual, type KeyObject } from 'node:crypto';
import type { Ticket } from './ticket';

const VERSION = '1';
const SEPARATOR = '.';
const MAC_BYTES = 16;
const EXPIRY_RADIX = 36;
const MAX_TEXT_CHARACTERS = 200;
const NAME_PATTERN = /^[a-z][a-z0-9-]{0,62}$/;
const INCARNATION_PATTERN = /^[0-9a-f]{16}$/;
const EXPIRY_PATTERN = /^[0-9a-z]{1,10}$/;
const NONCE_PATTERN = /^[A-Za-z0-9_-]{22,32}$/;
const SIGNED_PARTS = 6;
const UNSIGNED_PARTS = 5;

export type DecodedTicket =
  { readonly ok: true; readonly ticket: Ticket } | { readonly ok: false; readonly problem: string };

function problem(text: string): DecodedTicket {
  return { ok: false, problem: text };
}

/**
 * Text form of tickets for the `daisyferry-ticket` header:
 * `1.<home name>.<incarnation>.<expiry in base 36>.<nonce>[.<signature>]`.
 *
 * With a cluster key the text ends in an HMAC-SHA-256 of what precedes it, truncated to 128 bits;
 * a text without a valid signature is rejected. Without a key tickets are not signed.
 */
export class TicketCodec {
  private readonly key: KeyObject | undefined;

  /** @param key The cluster's key, or undefined in a cluster without one. */
  constructor(key: Buffer | undefined) {
    this.key = key === undefined ? undefined : createSecretKey(key);
  }

  encode(ticket: Ticket): string {
    const { home, expiresAtMs, nonce } = ticket;
    const expiry = Math.trunc(expiresAtMs).toString(EXPIRY_RADIX);
    const content = [VERSION, home.name, home.incarnation, expiry, nonce].join(SEPARATOR);
    if (this.key === undefined) return content;
    return `${content}${SEPARATOR}${this.signature(this.key, content).toString('base64url')}`;
  }

  /** Decodes a ticket from untrusted text. `problem` describes the first error, for logs. */
  decode(text: string): DecodedTicket {
    if (text.length > MAX_TEXT_CHARACTERS) return problem('too long');
    const parts = text.split(SEPARATOR);
    const [version, name, incarnation, expiry, nonce, mac] = parts;
    if (version !== VERSION) return problem('unknown version');
    const expectedParts = this.key === undefined ? UNSIGNED_PARTS : SIGNED_PARTS;
    if (parts.length !== expectedParts) return problem('wrong number of parts');
    if (name === undefined || !NAME_PATTERN.test(name)) return problem('bad home name');
    if (incarnation === undefined || !INCARNATION_PATTERN.test(incarnation)) {
      return problem('bad incarnation');
    }
    if (expiry === undefined || !EXPIRY_PATTERN.test(expiry)) return problem('bad expiry');
    if (nonce === undefined || !NONCE_PATTERN.test(nonce)) return problem('bad nonce');
    if (!this.hasValidSignature(text, mac)) return problem('bad signature');
    const expiresAtMs = Number.parseInt(expiry, EXPIRY_RADIX);
    return { ok: true, ticket: { home: { name, incarnation }, expiresAtMs, nonce } };
  }

  /** True without a key: tickets are not signed then. */
  private hasValidSignature(text: string, mac: string | undefined): boolean {
    if (this.key === undefined) return true;
    if (mac === undefined) return false;
    const expected = this.signature(this.key, text.slice(0, text.lastIndexOf(SEPARATOR)));
    const found = Buffer.from(mac, 'base64url');
    // A value has several base64url encodings; only the canonical one is accepted.
    if (found.toString('base64url') !== mac) return false;
    return found.length === MAC_BYTES && timingSafeEqual(found, expected);
  }

  private signature(key: KeyObject, content: string): Buffer {
    return createHmac('sha256', key).update(content).digest().subarray(0, MAC_BYTES);
  }
}
