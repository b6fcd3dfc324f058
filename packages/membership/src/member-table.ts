import type {
  Member,
  MemberDirectory,
  MemberView,
  ReachabilityName,
} from '@daisyferry/model/member';
import { Reachability } from '@daisyferry/model/member';
import type { MemberRecord } from './member-record';
import { newRecord, stateRank } from './member-record';
import { TableDigest } from './table-digest';

/** Members in one data centre, by reachability; the dead are not counted. */
export interface DataCentreCounts {
  members: number;
  suspects: number;
}

const EMPTY_VIEWS: readonly MemberView[] = [];

function byName(left: MemberView, right: MemberView): number {
  return left.member.id.name < right.member.id.name ? -1 : 1;
}

/**
 * All known members. Strings that many members share (service, data centre, region) are held once.
 * The dead stay as records until they are removed, but count nowhere.
 */
export class MemberTable implements MemberDirectory {
  epoch = 0;

  readonly digest = new TableDigest();

  private readonly records = new Map<string, MemberRecord>();

  private readonly refs = new Map<string, MemberRecord>();

  private readonly services = new Map<string, Set<MemberRecord>>();

  private readonly sorted = new Map<string, readonly MemberView[]>();

  private readonly shared = new Map<string, string>();

  private readonly groups = new Map<string, DataCentreCounts>();

  private readonly suspectRecords = new Set<MemberRecord>();

  private readonly deadRecords = new Set<MemberRecord>();

  membersOf(service: string): readonly MemberView[] {
    const cached = this.sorted.get(service);
    if (cached !== undefined) return cached;
    const records = this.services.get(service);
    if (records === undefined) return EMPTY_VIEWS;
    const views = [...records].map((record) => record.view).sort(byName);
    this.sorted.set(service, views);
    return views;
  }

  memberNamed(name: string): MemberView | undefined {
    return this.records.get(name)?.view;
  }

  recordNamed(name: string): MemberRecord | undefined {
    return this.records.get(name);
  }

  recordByRef(ref: string): MemberRecord | undefined {
    return this.refs.get(ref);
  }

  /** All records, the dead included. */
  allRecords(): IterableIterator<MemberRecord> {
    return this.records.values();
  }

  suspects(): ReadonlySet<MemberRecord> {
    return this.suspectRecords;
  }

  dead(): ReadonlySet<MemberRecord> {
    return this.deadRecords;
  }

  /** Number of records, the dead included. */
  get size(): number {
    return this.records.size;
  }

  /** Number of members that are not dead. */
  get liveCount(): number {
    return this.records.size - this.deadRecords.size;
  }

  dataCentreCounts(dataCentre: string): Readonly<DataCentreCounts> {
    return this.groups.get(dataCentre) ?? { members: 0, suspects: 0 };
  }

  /** Adds a record, in place of the one with the same name. */
  put(
    member: Member,
    refutations: number,
    reachability: ReachabilityName,
    nowMs: number,
  ): MemberRecord {
    const previous = this.records.get(member.id.name);
    if (previous !== undefined) this.remove(previous);
    const record = newRecord(this.withSharedStrings(member), refutations, reachability, nowMs);
    this.records.set(record.member.id.name, record);
    this.refs.set(record.ref, record);
    this.link(record);
    return record;
  }

  /** Changes the state of a record that is in the table. */
  mark(
    record: MemberRecord,
    reachability: ReachabilityName,
    refutations: number,
    nowMs: number,
  ): void {
    const changed = record;
    if (record.reachability === reachability) {
      this.raise(record, refutations);
      return;
    }
    this.unlink(record);
    changed.refutations = refutations;
    changed.reachability = reachability;
    changed.changedAtMs = nowMs;
    changed.view = { member: record.member, reachability };
    this.link(record);
  }

  /** Forgets a record. */
  remove(record: MemberRecord): void {
    this.unlink(record);
    this.records.delete(record.member.id.name);
    this.refs.delete(record.ref);
  }

  private raise(record: MemberRecord, refutations: number): void {
    const raised = record;
    const isLive = record.reachability !== Reachability.dead;
    if (isLive) this.digest.remove(record.ref, stateRank(record));
    raised.refutations = refutations;
    if (isLive) this.digest.add(record.ref, stateRank(record));
  }

  private link(record: MemberRecord): void {
    this.epoch += 1;
    if (record.reachability === Reachability.dead) {
      this.deadRecords.add(record);
      return;
    }
    const { service, dataCentre } = record.member;
    this.serviceSet(service).add(record);
    this.sorted.delete(service);
    this.digest.add(record.ref, stateRank(record));
    const group = this.groups.get(dataCentre) ?? { members: 0, suspects: 0 };
    this.groups.set(dataCentre, group);
    group.members += 1;
    if (record.reachability !== Reachability.suspect) return;
    group.suspects += 1;
    this.suspectRecords.add(record);
  }

  private unlink(record: MemberRecord): void {
    this.epoch += 1;
    if (this.deadRecords.delete(record)) return;
    const { service, dataCentre } = record.member;
    this.removeFromService(service, record);
    this.sorted.delete(service);
    this.digest.remove(record.ref, stateRank(record));
    const group = this.groups.get(dataCentre);
    if (group === undefined) return;
    group.members -= 1;
    if (this.suspectRecords.delete(record)) group.suspects -= 1;
    if (group.members === 0) this.groups.delete(dataCentre);
  }

  private serviceSet(service: string): Set<MemberRecord> {
    const present = this.services.get(service);
    if (present !== undefined) return present;
    const created = new Set<MemberRecord>();
    this.services.set(service, created);
    return created;
  }

  private removeFromService(service: string, record: MemberRecord): void {
    const records = this.services.get(service);
    if (records === undefined) return;
    records.delete(record);
    if (records.size === 0) this.services.delete(service);
  }

  private withSharedStrings(member: Member): Member {
    return {
      ...member,
      service: this.share(member.service),
      dataCentre: this.share(member.dataCentre),
      region: this.share(member.region),
    };
  }

  private share(text: string): string {
    const held = this.shared.get(text);
    if (held !== undefined) return held;
    this.shared.set(text, text);
    return text;
  }
}
