import { createSecureContext } from 'node:tls';
import type { Scheduler, Timer } from '@daisyferry/model/scheduler';
import type { TlsKeyMaterial } from './connection-pools';

const CHECK_INTERVAL_MS = 10_000;

export interface TlsReloadOptions {
  /** Reads the files; throws if one of them cannot be read. */
  readonly read: () => TlsKeyMaterial;
  readonly scheduler: Scheduler;
  /** Uses new key material for new connections; existing ones continue. */
  readonly apply: (tls: TlsKeyMaterial) => void;
  /** Called when the files become unusable or usable again; key and certificate must match. */
  readonly onState: (error: string | undefined) => void;
}

function isSame(left: TlsKeyMaterial, right: TlsKeyMaterial): boolean {
  return left.key.equals(right.key) && left.cert.equals(right.cert) && left.ca.equals(right.ca);
}

/**
 * Checks the TLS files of a listener periodically and applies changed ones. Files that cannot be
 * used, for example a new key beside the old certificate, leave the current ones in use.
 */
export class TlsReload {
  private timer: Timer | undefined;

  private error: string | undefined;

  constructor(
    private present: TlsKeyMaterial,
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

  private replace(next: TlsKeyMaterial): void {
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
