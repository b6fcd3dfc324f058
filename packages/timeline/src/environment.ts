import type { Scheduler } from '@daisyferry/model/scheduler';
import type { Dispatcher } from 'undici';

/** PEM files for mutual TLS with the administration listeners. */
export interface TlsOptions {
  readonly ca: string | undefined;
  readonly cert: string | undefined;
  readonly key: string | undefined;
}

/** Process facilities that the command line uses; tests replace them. */
export interface TimelineEnvironment {
  readonly scheduler: Scheduler;
  readonly variables: Readonly<Record<string, string | undefined>>;
  /** Aborted when the process is stopped; the events collected so far are then written. */
  readonly stopSignal: AbortSignal;
  /** Throws a `TimelineInputError` if the file cannot be read. */
  readonly readFile: (file: string) => string;
  readonly writeFile: (file: string, text: string) => void;
  readonly writeOutput: (text: string) => void;
  readonly writeError: (text: string) => void;
  readonly createDispatcher: (tls: TlsOptions) => Dispatcher;
}
