import { Reachability, TargetState } from '@daisyferry/model/member';
import type { Member } from '@daisyferry/model/member';
import type { RandomSource } from '@daisyferry/model/scheduler';
import type { MemberRecord } from '../member-record';
import type { MemberTable } from '../member-table';
import type { FleetPorts } from './scale-plan';
import { scaleMember } from './scale-plan';

/** One change of the fleet's table to be disseminated. */
export interface FleetUpdate {
  readonly record: MemberRecord;
  readonly whole: boolean;
}

/** Simulates replacements and failures of members at the rates of the scale plan. */
export class FleetChurn {
  private incarnationNumber = 1;

  private readonly versionByName = new Map<string, number>();

  constructor(
    private readonly table: MemberTable,
    private readonly members: number,
    private readonly ports: FleetPorts,
    private readonly random: RandomSource,
  ) {}

  /** Steps of one replacement: drain, leave, then a new incarnation in three target states. */
  replacement(): readonly ((nowMs: number) => FleetUpdate)[] {
    const number = Math.floor(this.random() * this.members);
    this.incarnationNumber += 1;
    const { incarnationNumber } = this;
    return [
      (nowMs) => this.putMember(number, incarnationNumber - 1, TargetState.leaving, nowMs),
      (nowMs) => this.markDead(number, 1, nowMs),
      (nowMs) => this.putMember(number, incarnationNumber, TargetState.absent, nowMs),
      (nowMs) => this.putMember(number, incarnationNumber, TargetState.warming, nowMs),
      (nowMs) => this.putMember(number, incarnationNumber, TargetState.serving, nowMs),
    ];
  }

  /** Steps of one failure: suspicion, then death. */
  failure(): readonly ((nowMs: number) => FleetUpdate)[] {
    const number = Math.floor(this.random() * this.members);
    return [(nowMs) => this.markSuspect(number, nowMs), (nowMs) => this.markDead(number, 0, nowMs)];
  }

  private recordOf(number: number, nowMs: number): MemberRecord {
    const { id } = scaleMember(number, 0, this.ports);
    const tableRecord = this.table.recordNamed(id.name);
    return tableRecord ?? this.putMember(number, 0, TargetState.serving, nowMs).record;
  }

  private putMember(
    number: number,
    incarnationNumber: number,
    targetState: Member['targetState'],
    nowMs: number,
  ): FleetUpdate {
    const member = scaleMember(number, incarnationNumber, this.ports);
    const version = (this.versionByName.get(member.id.name) ?? 1) + 1;
    this.versionByName.set(member.id.name, version);
    const changed = { ...member, targetState, version };
    return { record: this.table.put(changed, 0, Reachability.alive, nowMs), whole: true };
  }

  private markSuspect(number: number, nowMs: number): FleetUpdate {
    const record = this.recordOf(number, nowMs);
    this.table.setState(record, Reachability.suspect, record.refutations, nowMs);
    return { record, whole: false };
  }

  private markDead(number: number, raisedBy: number, nowMs: number): FleetUpdate {
    const record = this.recordOf(number, nowMs);
    this.table.setState(record, Reachability.dead, record.refutations + raisedBy, nowMs);
    return { record, whole: false };
  }
}
