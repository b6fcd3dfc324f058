import type { Client } from '@connectrpc/connect';
import type { AdministrationService } from '@daisyferry/admin-api/gen/daisyferry/admin/v1/administration_pb';

export type AdminClient = Client<typeof AdministrationService>;

/** How a daemon's administration listener is reached. */
export interface ConnectionOptions {
  /** Base URL of the listener. */
  readonly admin: string;
  readonly timeoutMs: number;
  /** Files of mutual TLS, in PEM. */
  readonly ca: string | undefined;
  readonly cert: string | undefined;
  readonly key: string | undefined;
}

/** What the command line needs from the process that it runs in. */
export interface CliEnvironment {
  connect(options: ConnectionOptions): AdminClient;
  /** Reads a file; `-` is the standard input. */
  readFile(file: string): string;
  writeFile(file: string, text: string): void;
  writeOutput(text: string): void;
  writeError(text: string): void;
  /** A fresh operation identifier. */
  newOperationId(): string;
  readonly userName: string;
  /** Environment variables, which stand in for options. */
  readonly variables: Readonly<Record<string, string | undefined>>;
}
