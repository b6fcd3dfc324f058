import type { RandomSource, Scheduler } from '@daisyferry/model/scheduler';
import type { Dispatcher } from 'undici';

export interface ClientOptions {
  /** Origins of callers' listeners, for example `http://10.0.0.5:7001`; at least one. */
  readonly daemons: readonly string[];
  /** The service that is called. */
  readonly service: string;
  /** Most tries of one call, waits in between included; 3 when absent. */
  readonly maxTries?: number;
  /** Longest answer read; 16 MiB when absent. */
  readonly maxAnswerBytes?: number;
  /** Connections to each daemon; 64 when absent. */
  readonly connections?: number;
  /** Replaces the client's own connections, for example for TLS; the client does not close it. */
  readonly dispatcher?: Dispatcher;
  readonly scheduler?: Scheduler;
  readonly random?: RandomSource;
}
