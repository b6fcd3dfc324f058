import type { RandomSource, Scheduler } from '@daisyferry/model/scheduler';
import type { Dispatcher } from 'undici';

export interface ClientOptions {
  /** Origins of callers' listeners, for example `http://10.0.0.5:7001`; at least one. */
  readonly daemons: readonly string[];
  /** Name of the service to call. */
  readonly service: string;
  /** Maximum number of attempts of one call; defaults to 3. */
  readonly maxTries?: number;
  /** Maximum size of a response body; defaults to 16 MiB. */
  readonly maxAnswerBytes?: number;
  /** Maximum number of connections to each daemon; defaults to 64. */
  readonly connections?: number;
  /** Replaces the client's own agent, for example for TLS; the client does not close it. */
  readonly dispatcher?: Dispatcher;
  readonly scheduler?: Scheduler;
  readonly random?: RandomSource;
}
