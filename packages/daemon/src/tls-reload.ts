import { createSecureContext } from 'node:tls';
import type { Scheduler, Timer } from '@daisyferry/model/scheduler';
import type { PoolTls } from './pool-book';

const CHECK_INTERVAL_MS = 10_000;

export interface TlsReloadOptions {
  /** Reads the files; fails while one of them cannot be read. */
  readonly read: () => PoolTls;
  readonly scheduler: Scheduler;
  /** Takes new key material into use for new connections; present ones go on. */
  readonly apply: (tls: PoolTls) => void;
  /** Told when the files turn bad or good; key and certificate must belong together. */
  readonly onState: (error: string | undefined) => void;
}

function isSame(left: PoolTls, right: PoolTls): boolean {
  return left.key.equals(right.key) && left.cert.equals(right.cert) && left.ca.equals(right.ca);
}

/**
 * Looks at the TLS files of a listener from time to time and takes changed ones into use. Files that
 * cannot be used, for example a new key beside the old certificate, leave the present ones in force.
 */
export class TlsReload {
  private timer: Timer | undefined;

  private error: string | undefined;

  constructor(
    private present: PoolTls,
    private readonly options: TlsReloadOptions,
  ) {}

  start(): void {
    this.timer = this.options.scheduler.after(CHECK_INTERVAL_MS, () => {
      this.check();
      this.start();
    });
  }

  stop(): void {
    this.timer?.cancel();
    this.timer = undefined;
  }

  private check(): void {
    try {
      const next = this.options.read();
      if (!isSame(next, this.present)) this.replace(next);
      this.report(undefined);
    } catch (error) {
      this.report(error instanceof Error ? error.message : String(error));
    }
  }

  private replace(next: PoolTls): void {
    createSecureContext(next);
    this.present = next;
    this.options.apply(next);
  }

  private report(error: string | undefined): void {
    if (this.error === error) return;
    this.error = error;
    this.options.onState(error);
  }
}
