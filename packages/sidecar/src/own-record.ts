import type { AnnouncedTarget } from '@daisyferry/mesh/announced-target';
import {
  MAX_RECORD_NUMBER,
  type DaemonRecord,
  type EndedTarget,
} from '@daisyferry/mesh/daemon-record';
import { SocketAddress } from '@daisyferry/mesh/socket-address';
import type { DaemonEnvironment } from './daemon-environment';
import { Emitter } from './emitter';

/** The record that this daemon publishes about itself and its target. */
export class OwnRecord {
  private revision = 1;

  private isLeaving = false;

  private readonly changes = new Emitter<DaemonRecord>();

  private readonly targetEnds = new Emitter<undefined>();

  constructor(
    private readonly environment: DaemonEnvironment,
    private readonly target: AnnouncedTarget,
    /** Unix time of the start of this process, so that later incarnations have greater numbers. */
    private incarnation: number,
    private readonly clock: () => number,
  ) {}

  get daemonId(): string {
    return this.environment.daemonId;
  }

  /** Data centre of this daemon. */
  get zone(): string {
    return this.environment.zone;
  }

  record(): DaemonRecord {
    const { daemonId, zone, listen } = this.environment;
    const address = this.environment.peerAddress ?? listen.peers;
    const { announcement } = this.target;
    const nowMs = this.clock();
    const endedTargets = this.target.endedTargets(nowMs);
    return {
      daemonId,
      incarnation: this.incarnation,
      revision: this.revision,
      address: new SocketAddress(address.ip, address.port),
      zone,
      isLeaving: this.isLeaving,
      target: announcement && {
        targetId: announcement.targetId,
        service: announcement.service,
        bornUnixMs: announcement.bornUnixMs,
        slots: announcement.slots,
        isServing: this.target.isServing,
        isLeaving: this.target.hasReturned ? false : this.target.isLeaving || undefined,
        coldMs: Math.round(this.target.coldMs(nowMs)),
      },
      endedTargets: endedTargets.length === 0 ? undefined : endedTargets,
    };
  }

  subscribe(listener: (record: DaemonRecord) => void): void {
    this.changes.subscribe(listener);
  }

  /** `listener` is called when an earlier process's record shows that the serving target has ended. */
  subscribeTargetEnds(listener: () => void): void {
    this.targetEnds.subscribe(listener);
  }

  /** Publishes a new revision, as the state of the daemon or of its target has changed. */
  publish(): void {
    this.revision += 1;
    this.changes.emit(this.record());
  }

  /** Takes over which targets have ended while an earlier process of this daemon ran. */
  restoreEnded(endedTargets: readonly EndedTarget[]): void {
    if (this.target.restoreEnded(endedTargets, this.clock())) this.targetEnds.emit(undefined);
  }

  publishLeaving(): void {
    this.isLeaving = true;
    this.publish();
  }

  /**
   * Takes over which targets have ended from an earlier process's record. Raises the incarnation
   * above that of the record, which is the greater one if the clock was set back in between.
   */
  supersede(record: DaemonRecord): void {
    const { incarnation } = record;
    if (incarnation === this.incarnation) return;
    this.restoreEnded(record.endedTargets ?? []);
    if (incarnation <= this.incarnation || incarnation >= MAX_RECORD_NUMBER) return;
    this.incarnation = incarnation + 1;
    this.publish();
  }
}
