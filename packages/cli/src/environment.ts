import type { Client } from '@connectrpc/connect';
import type { AdministrationService } from '@daisyferry/admin-api/gen/daisyferry/admin/v1/administration_pb';

export type AdminClient = Client<typeof AdministrationService>;

/** Options for the connection to a daemon's administration listener. */
export interface ConnectionOptions {
  /** Base URL of the listener. */
  readonly admin: string;
  readonly timeoutMs: number;
  /** PEM files for mutual TLS. */
  readonly ca: string | undefined;
  readonly cert: string | undefined;
  readonly key: string | undefined;
}

/** Process facilities that the command line uses; tests replace them. */
export interface CliEnvironment {
  connect(options: ConnectionOptions): AdminClient;
  /** Reads the metrics of a daemon at `IP:PORT`; undefined if they cannot be read in time. */
  readMetrics(address: string, timeoutMs: number): Promise<string | undefined>;
  /** Reads a file; `-` reads standard input. */
  readFile(file: string): string;
  writeFile(file: string, text: string): void;
  writeOutput(text: string): void;
  writeError(text: string): void;
  /** Creates a unique operation identifier. */
  newOperationId(): string;
  readonly userName: string;
  /** Environment variables, some of which provide option defaults. */
  readonly variables: Readonly<Record<string, string | undefined>>;
}
