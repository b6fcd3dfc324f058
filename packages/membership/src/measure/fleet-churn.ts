import { Reachability, TargetState } from '@daisyferry/model/member';
import type { Member } from '@daisyferry/model/member';
import type { RandomSource } from '@daisyferry/model/scheduler';
import type { MemberRecord } from '../member-record';
import type { MemberTable } from '../member-table';
import type { FleetPorts } from './scale-plan';
import { scaleMember } from './scale-plan';

/** One change of the fleet's table, as it has to be spread. */
export interface FleetUpdate {
  readonly record: MemberRecord;
  readonly whole: boolean;
}

/** Makes members leave, fail and come back as the worked day has it. */
export class FleetChurn {
  private run = 1;

  private readonly version = new Map<string, number>();

  constructor(
    private readonly table: MemberTable,
    private readonly members: number,
    private readonly ports: FleetPorts,
    private readonly random: RandomSource,
  ) {}

  /** The steps of one replacement: drain, leave, come back in three states. */
  replacement(): readonly ((nowMs: number) => FleetUpdate)[] {
    const number = Math.floor(this.random() * this.members);
    this.run += 1;
    const { run } = this;
    return [
      (nowMs) => this.put(number, run - 1, TargetState.leaving, nowMs),
      (nowMs) => this.kill(number, 1, nowMs),
      (nowMs) => this.put(number, run, TargetState.absent, nowMs),
      (nowMs) => this.put(number, run, TargetState.warming, nowMs),
      (nowMs) => this.put(number, run, TargetState.serving, nowMs),
    ];
  }

  /** The steps of one failure: suspicion, then death. */
  failure(): readonly ((nowMs: number) => FleetUpdate)[] {
    const number = Math.floor(this.random() * this.members);
    return [(nowMs) => this.suspect(number, nowMs), (nowMs) => this.kill(number, 0, nowMs)];
  }

  private record(number: number, nowMs: number): MemberRecord {
    const { id } = scaleMember(number, 0, this.ports);
    const held = this.table.recordNamed(id.name);
    return held ?? this.put(number, 0, TargetState.serving, nowMs).record;
  }

  private put(
    number: number,
    run: number,
    targetState: Member['targetState'],
    nowMs: number,
  ): FleetUpdate {
    const member = scaleMember(number, run, this.ports);
    const version = (this.version.get(member.id.name) ?? 1) + 1;
    this.version.set(member.id.name, version);
    const changed = { ...member, targetState, version };
    return { record: this.table.put(changed, 0, Reachability.alive, nowMs), whole: true };
  }

  private suspect(number: number, nowMs: number): FleetUpdate {
    const record = this.record(number, nowMs);
    this.table.mark(record, Reachability.suspect, record.refutations, nowMs);
    return { record, whole: false };
  }

  private kill(number: number, raisedBy: number, nowMs: number): FleetUpdate {
    const record = this.record(number, nowMs);
    this.table.mark(record, Reachability.dead, record.refutations + raisedBy, nowMs);
    return { record, whole: false };
  }
}
