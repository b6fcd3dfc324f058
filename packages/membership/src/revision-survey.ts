import type { Member } from '@daisyferry/model/member';
import { Reachability } from '@daisyferry/model/member';
import type { PolicyTable } from '@daisyferry/model/policy-table';
import type { MemberTable } from './member-table';
import type { PeerRpc } from './peer-rpc';
import { PeerMethod } from './peer-rpc';
import type { StatusRevisions } from './rpc-schemas';
import { statusRevisionSchema, statusRevisionsSchema } from './rpc-schemas';

const STATUS_TIMEOUT_MS = 1_000;
const DELEGATE_TIMEOUT_MS = 8_000;
const MAX_CONCURRENT = 32;
const MAX_DELEGATES_TRIED = 2;

interface SurveyResult {
  readonly lagging: { name: string; revision: number }[];
  readonly unreachable: string[];
}

async function forEachConcurrent<Item>(
  items: readonly Item[],
  action: (item: Item) => Promise<void>,
): Promise<void> {
  const remainingItems = [...items];
  const runWorker = async (): Promise<void> => {
    for (let item = remainingItems.shift(); item !== undefined; item = remainingItems.shift()) {
      await action(item);
    }
  };
  await Promise.all(Array.from({ length: MAX_CONCURRENT }, runWorker));
}

/**
 * Finds the daemons that have not applied a revision, in two levels: this daemon splits the members
 * into about √n parts and delegates each part to one of its members.
 */
export class RevisionSurvey {
  constructor(
    private readonly selfName: string,
    private readonly table: MemberTable,
    private readonly policies: PolicyTable,
    private readonly rpc: PeerRpc,
  ) {}

  /** Queries all members that are not dead, through delegates. */
  async surveyAll(revision: number): Promise<StatusRevisions> {
    const names = this.liveNames();
    const partSize = Math.max(1, Math.ceil(Math.sqrt(names.length)));
    const parts = Array.from({ length: Math.ceil(names.length / partSize) }, (_, at) =>
      names.slice(at * partSize, (at + 1) * partSize),
    );
    const result: SurveyResult = { lagging: [], unreachable: [] };
    await forEachConcurrent(parts, async (part) => {
      const { lagging, unreachable } = await this.delegatePart(revision, part);
      result.lagging.push(...lagging);
      result.unreachable.push(...unreachable);
    });
    return { asked: names.length, ...result };
  }

  /** Queries the given members, one call each. */
  async surveyMembers(revision: number, names: readonly string[]): Promise<StatusRevisions> {
    const result: SurveyResult = { lagging: [], unreachable: [] };
    await forEachConcurrent(names, async (name) => this.surveyMember(revision, name, result));
    return { asked: names.length, ...result };
  }

  private async delegatePart(revision: number, part: readonly string[]): Promise<StatusRevisions> {
    for (const name of part.slice(0, MAX_DELEGATES_TRIED)) {
      const view = this.table.memberNamed(name);
      if (view === undefined || name === this.selfName) continue;
      const params = { revision, members: part };
      const method = PeerMethod.statusRevisions;
      const result = await this.rpc.call(view.member, method, params, DELEGATE_TIMEOUT_MS);
      const parsed = statusRevisionsSchema.safeParse(result.ok ? result.value : undefined);
      if (parsed.success) return parsed.data;
    }
    return this.surveyMembers(revision, part);
  }

  private async surveyMember(revision: number, name: string, result: SurveyResult): Promise<void> {
    const appliedRevision = await this.revisionOf(name);
    if (appliedRevision === undefined) result.unreachable.push(name);
    else if (appliedRevision < revision) result.lagging.push({ name, revision: appliedRevision });
  }

  private async revisionOf(name: string): Promise<number | undefined> {
    if (name === this.selfName) return this.policies.revision;
    const member: Member | undefined = this.table.memberNamed(name)?.member;
    if (member === undefined) return undefined;
    const result = await this.rpc.call(member, PeerMethod.statusRevision, {}, STATUS_TIMEOUT_MS);
    const parsed = statusRevisionSchema.safeParse(result.ok ? result.value : undefined);
    return parsed.success ? parsed.data.revision : undefined;
  }

  private liveNames(): string[] {
    const names: string[] = [];
    for (const { member, reachability } of this.table.allRecords()) {
      if (reachability !== Reachability.dead) names.push(member.id.name);
    }
    return names.sort();
  }
}
