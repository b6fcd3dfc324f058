import type { Member } from '@daisyferry/model/member';
import { Reachability } from '@daisyferry/model/member';
import type { RandomSource } from '@daisyferry/model/scheduler';
import type { MemberRecord } from './member-record';
import type { MemberTable } from './member-table';

/** Every n-th probe goes to another data centre. */
const PROBES_PER_FAR_PROBE = 4;

const PICK_ATTEMPTS_PER_MEMBER = 8;

function shuffle<Item>(items: Iterable<Item>, random: RandomSource): Item[] {
  const result: Item[] = [];
  for (const item of items) {
    const at = Math.floor(random() * (result.length + 1));
    const moved = result[at];
    if (moved === undefined) {
      result.push(item);
    } else {
      result[at] = item;
      result.push(moved);
    }
  }
  return result;
}

/**
 * Picks members to probe and to send to. Probes go round robin over a shuffled list, so that each
 * member is probed within a bounded number of rounds. Most probes go to the own data centre, since
 * each member is monitored by the daemons of its data centre; every few probes go to the others.
 */
export class ProbeOrder {
  private near: string[] = [];

  private far: string[] = [];

  private round = 0;

  private readonly position = { near: 0, far: 0 };

  constructor(
    private readonly table: MemberTable,
    private readonly self: Pick<Member, 'id' | 'dataCentre'>,
    private readonly random: RandomSource,
  ) {}

  /** Returns the next member to probe, or undefined while no other member is known. */
  next(): MemberRecord | undefined {
    this.round += 1;
    const isFarTurn = this.round % PROBES_PER_FAR_PROBE === 0;
    return this.nextFrom(isFarTurn) ?? this.nextFrom(!isFarTurn);
  }

  /** Returns up to `count` distinct random members that are alive and pass the filter. */
  pickAlive(count: number, accept: (record: MemberRecord) => boolean): MemberRecord[] {
    const chosen = new Set<MemberRecord>();
    const names = [this.near, this.far];
    for (
      let attempt = 0;
      attempt < count * PICK_ATTEMPTS_PER_MEMBER && chosen.size < count;
      attempt += 1
    ) {
      const list = names[attempt % names.length] ?? [];
      const name = list[Math.floor(this.random() * list.length)];
      const record = name === undefined ? undefined : this.table.recordNamed(name);
      if (record?.reachability === Reachability.alive && accept(record)) chosen.add(record);
    }
    return [...chosen];
  }

  /** Inserts a new member at a random position. */
  add(record: MemberRecord): void {
    const { name } = record.member.id;
    if (name === this.self.id.name) return;
    const list = record.member.dataCentre === this.self.dataCentre ? this.near : this.far;
    const at = Math.floor(this.random() * (list.length + 1));
    const moved = list[at];
    if (moved === undefined) {
      list.push(name);
      return;
    }
    list[at] = name;
    list.push(moved);
  }

  private nextFrom(isFar: boolean): MemberRecord | undefined {
    const key = isFar ? 'far' : 'near';
    for (let pass = 0; pass < 2; pass += 1) {
      const list = this[key];
      while (this.position[key] < list.length) {
        const record = this.table.recordNamed(list[this.position[key]] ?? '');
        this.position[key] += 1;
        if (record !== undefined && record.reachability !== Reachability.dead) return record;
      }
      this.rebuild(isFar);
    }
    return undefined;
  }

  private rebuild(isFar: boolean): void {
    const names: string[] = [];
    for (const { member, reachability } of this.table.allRecords()) {
      const isOther = member.id.name !== this.self.id.name && reachability !== Reachability.dead;
      if (isOther && (member.dataCentre !== this.self.dataCentre) === isFar) {
        names.push(member.id.name);
      }
    }
    const key = isFar ? 'far' : 'near';
    this[key] = shuffle(names, this.random);
    this.position[key] = 0;
  }
}
