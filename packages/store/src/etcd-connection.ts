import { Agent, request } from 'undici';
import type { z } from 'zod';
import type { StoreResult } from './key-value-store';
import { refusedFailure, undecidedFailure } from './store-failure';

const MAX_CONNECTIONS_PER_ENDPOINT = 8;
const FIRST_SERVER_ERROR = 500;
const STATUS_OK = 200;

/** Codes of errors raised before the request is sent: the call cannot have taken effect. */
const UNSENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
]);

function errorCode(error: unknown): string {
  if (typeof error !== 'object' || error === null) return '';
  return 'code' in error && typeof error.code === 'string' ? error.code : '';
}

function errorText(error: unknown): string {
  return error instanceof Error ? `${error.name}: ${error.message}` : String(error);
}

/** Kind of a call. A read changes nothing, so a failed read always counts as refused. */
export const CallKind = { read: 'read', write: 'write' } as const;

export type CallKindName = (typeof CallKind)[keyof typeof CallKind];

export interface EtcdCall<Schema extends z.ZodType> {
  readonly path: string;
  readonly body: object;
  readonly kind: CallKindName;
  readonly schema: Schema;
  readonly timeoutMs: number;
}

/**
 * Sends calls to one of several endpoints. A request is sent at most once: another endpoint is
 * tried only if no connection could be established.
 */
export class EtcdConnection {
  private currentIndex = 0;

  readonly agent = new Agent({
    connections: MAX_CONNECTIONS_PER_ENDPOINT,
    pipelining: 1,
  });

  constructor(private readonly endpoints: readonly string[]) {}

  /** The endpoint in use, or undefined if none is configured. */
  get endpoint(): string | undefined {
    return this.endpoints[this.currentIndex];
  }

  /** Switches to the next endpoint after a failure of the current one. */
  switchEndpoint(): void {
    this.currentIndex =
      this.endpoints.length === 0 ? 0 : (this.currentIndex + 1) % this.endpoints.length;
  }

  async call<Schema extends z.ZodType>(
    call: EtcdCall<Schema>,
  ): Promise<StoreResult<z.output<Schema>>> {
    const signal = AbortSignal.timeout(call.timeoutMs);
    let failure = 'no endpoint is set';
    for (let attempt = 0; attempt < this.endpoints.length; attempt += 1) {
      try {
        return await this.send(call, signal);
      } catch (error) {
        this.switchEndpoint();
        failure = errorText(error);
        if (!UNSENT_CODES.has(errorCode(error))) return this.failed(call.kind, failure);
      }
    }
    return refusedFailure(failure);
  }

  private async send<Schema extends z.ZodType>(
    { path, body, kind, schema }: EtcdCall<Schema>,
    signal: AbortSignal,
  ): Promise<StoreResult<z.output<Schema>>> {
    const response = await request(`${this.endpoint}${path}`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
      dispatcher: this.agent,
      signal,
    });
    const text = await response.body.text();
    if (response.statusCode !== STATUS_OK) {
      const detail = `status ${response.statusCode}: ${text}`;
      return response.statusCode < FIRST_SERVER_ERROR
        ? refusedFailure(detail)
        : this.failed(kind, detail);
    }
    const parsed = schema.safeParse(JSON.parse(text));
    if (!parsed.success) return this.failed(kind, `unreadable answer: ${parsed.error.message}`);
    return { ok: true, value: parsed.data };
  }

  private failed(kind: CallKindName, detail: string) {
    return kind === CallKind.read ? refusedFailure(detail) : undecidedFailure(detail);
  }
}
