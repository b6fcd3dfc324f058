import type {
  Member,
  MemberDirectory,
  MemberView,
  ReachabilityName,
} from '@daisyferry/model/member';
import { Reachability } from '@daisyferry/model/member';
import type { MemberRecord } from './member-record';
import { createMemberRecord, stateRank } from './member-record';
import { TableDigest } from './table-digest';

/** Number of members and suspects in one data centre; dead members are not counted. */
export interface DataCentreCounts {
  members: number;
  suspects: number;
}

const EMPTY_VIEWS: readonly MemberView[] = [];

function byName(left: MemberView, right: MemberView): number {
  return left.member.id.name < right.member.id.name ? -1 : 1;
}

/**
 * All known members. Strings shared by many members (service, data centre, region) are interned.
 * Dead members are kept as records until they are removed, but are not part of any count or list.
 */
export class MemberTable implements MemberDirectory {
  epoch = 0;

  readonly digest = new TableDigest();

  private readonly recordsByName = new Map<string, MemberRecord>();

  private readonly recordsByRef = new Map<string, MemberRecord>();

  private readonly recordsByService = new Map<string, Set<MemberRecord>>();

  private readonly sortedViews = new Map<string, readonly MemberView[]>();

  private readonly internedStrings = new Map<string, string>();

  private readonly countsByDataCentre = new Map<string, DataCentreCounts>();

  private readonly suspectRecords = new Set<MemberRecord>();

  private readonly deadRecords = new Set<MemberRecord>();

  membersOf(service: string): readonly MemberView[] {
    const cached = this.sortedViews.get(service);
    if (cached !== undefined) return cached;
    const records = this.recordsByService.get(service);
    if (records === undefined) return EMPTY_VIEWS;
    const views = [...records].map((record) => record.view).sort(byName);
    this.sortedViews.set(service, views);
    return views;
  }

  memberNamed(name: string): MemberView | undefined {
    return this.recordsByName.get(name)?.view;
  }

  recordNamed(name: string): MemberRecord | undefined {
    return this.recordsByName.get(name);
  }

  recordByRef(ref: string): MemberRecord | undefined {
    return this.recordsByRef.get(ref);
  }

  /** All records, dead members included. */
  allRecords(): IterableIterator<MemberRecord> {
    return this.recordsByName.values();
  }

  suspects(): ReadonlySet<MemberRecord> {
    return this.suspectRecords;
  }

  dead(): ReadonlySet<MemberRecord> {
    return this.deadRecords;
  }

  /** Number of records, dead members included. */
  get size(): number {
    return this.recordsByName.size;
  }

  /** Number of members that are not dead. */
  get liveCount(): number {
    return this.recordsByName.size - this.deadRecords.size;
  }

  dataCentreCounts(dataCentre: string): Readonly<DataCentreCounts> {
    return this.countsByDataCentre.get(dataCentre) ?? { members: 0, suspects: 0 };
  }

  /** Adds a record and replaces the one with the same name. */
  put(
    member: Member,
    refutations: number,
    reachability: ReachabilityName,
    nowMs: number,
  ): MemberRecord {
    const previous = this.recordsByName.get(member.id.name);
    if (previous !== undefined) this.remove(previous);
    const record = createMemberRecord(
      this.withInternedStrings(member),
      refutations,
      reachability,
      nowMs,
    );
    this.recordsByName.set(record.member.id.name, record);
    this.recordsByRef.set(record.ref, record);
    this.addToIndexes(record);
    return record;
  }

  /** Changes the state of a record in the table. */
  setState(
    record: MemberRecord,
    reachability: ReachabilityName,
    refutations: number,
    nowMs: number,
  ): void {
    const changed = record;
    if (record.reachability === reachability) {
      this.setRefutations(record, refutations);
      return;
    }
    this.removeFromIndexes(record);
    changed.refutations = refutations;
    changed.reachability = reachability;
    changed.changedAtMs = nowMs;
    changed.view = { member: record.member, reachability };
    this.addToIndexes(record);
  }

  remove(record: MemberRecord): void {
    this.removeFromIndexes(record);
    this.recordsByName.delete(record.member.id.name);
    this.recordsByRef.delete(record.ref);
  }

  private setRefutations(record: MemberRecord, refutations: number): void {
    const raised = record;
    const isLive = record.reachability !== Reachability.dead;
    if (isLive) this.digest.remove(record.ref, stateRank(record));
    raised.refutations = refutations;
    if (isLive) this.digest.add(record.ref, stateRank(record));
  }

  private addToIndexes(record: MemberRecord): void {
    this.epoch += 1;
    if (record.reachability === Reachability.dead) {
      this.deadRecords.add(record);
      return;
    }
    const { service, dataCentre } = record.member;
    this.recordsOfService(service).add(record);
    this.sortedViews.delete(service);
    this.digest.add(record.ref, stateRank(record));
    const counts = this.countsByDataCentre.get(dataCentre) ?? { members: 0, suspects: 0 };
    this.countsByDataCentre.set(dataCentre, counts);
    counts.members += 1;
    if (record.reachability !== Reachability.suspect) return;
    counts.suspects += 1;
    this.suspectRecords.add(record);
  }

  private removeFromIndexes(record: MemberRecord): void {
    this.epoch += 1;
    if (this.deadRecords.delete(record)) return;
    const { service, dataCentre } = record.member;
    this.removeFromService(service, record);
    this.sortedViews.delete(service);
    this.digest.remove(record.ref, stateRank(record));
    const counts = this.countsByDataCentre.get(dataCentre);
    if (counts === undefined) return;
    counts.members -= 1;
    if (this.suspectRecords.delete(record)) counts.suspects -= 1;
    if (counts.members === 0) this.countsByDataCentre.delete(dataCentre);
  }

  private recordsOfService(service: string): Set<MemberRecord> {
    const present = this.recordsByService.get(service);
    if (present !== undefined) return present;
    const created = new Set<MemberRecord>();
    this.recordsByService.set(service, created);
    return created;
  }

  private removeFromService(service: string, record: MemberRecord): void {
    const records = this.recordsByService.get(service);
    if (records === undefined) return;
    records.delete(record);
    if (records.size === 0) this.recordsByService.delete(service);
  }

  private withInternedStrings(member: Member): Member {
    return {
      ...member,
      service: this.intern(member.service),
      dataCentre: this.intern(member.dataCentre),
      region: this.intern(member.region),
    };
  }

  private intern(text: string): string {
    const interned = this.internedStrings.get(text);
    if (interned !== undefined) return interned;
    this.internedStrings.set(text, text);
    return text;
  }
}
