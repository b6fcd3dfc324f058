import type { Scheduler } from '@daisyferry/model/scheduler';
import type { Dispatcher } from 'undici';

/** Files in PEM for mutual TLS with the administration listeners. */
export interface TlsOptions {
  readonly ca: string | undefined;
  readonly cert: string | undefined;
  readonly key: string | undefined;
}

/** What the command line needs of the process; tests give their own. */
export interface TimelineEnvironment {
  readonly scheduler: Scheduler;
  readonly variables: Readonly<Record<string, string | undefined>>;
  /** Aborted when the process is asked to end: what was collected is then written. */
  readonly stop: AbortSignal;
  /** Throws an `InputError` for a file that cannot be read. */
  readonly readFile: (file: string) => string;
  readonly writeFile: (file: string, text: string) => void;
  readonly writeOutput: (text: string) => void;
  readonly writeError: (text: string) => void;
  readonly connect: (tls: TlsOptions) => Dispatcher;
}
