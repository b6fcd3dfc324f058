import type { LocalTarget } from '@daisyferry/mesh/local-target';
import type { DaemonRecord } from '@daisyferry/mesh/daemon-record';
import type { DaemonEnvironment } from './daemon-environment';
import { Signal } from './signal';

/** The record that this daemon publishes of itself and its target. */
export class OwnRecord {
  private revision = 1;

  private isLeaving = false;

  private readonly changes = new Signal<DaemonRecord>();

  constructor(
    private readonly environment: DaemonEnvironment,
    private readonly target: LocalTarget,
    /** Unix time of the start of this process; later lives have greater numbers. */
    private incarnation: number,
    private readonly clock: () => number,
  ) {}

  get daemonId(): string {
    return this.environment.daemonId;
  }

  record(): DaemonRecord {
    const { daemonId, zone, listen } = this.environment;
    const { announcement } = this.target;
    return {
      daemonId,
      incarnation: this.incarnation,
      revision: this.revision,
      address: `${listen.peers.ip}:${listen.peers.port}`,
      zone,
      isLeaving: this.isLeaving,
      target: announcement && {
        targetId: announcement.targetId,
        service: announcement.service,
        slots: announcement.slots,
        isServing: this.target.isServing,
        coldMs: Math.round(this.target.coldMs(this.clock())),
      },
    };
  }

  subscribe(listener: (record: DaemonRecord) => void): void {
    this.changes.subscribe(listener);
  }

  /** The target has changed. */
  changed(): void {
    this.revision += 1;
    this.changes.emit(this.record());
  }

  leave(): void {
    this.isLeaving = true;
    this.changed();
  }

  /** A record of an earlier life carries a greater number: the clock was set back since. */
  outlive(record: DaemonRecord): void {
    if (record.incarnation <= this.incarnation) return;
    this.incarnation = record.incarnation + 1;
    this.changed();
  }
}
