import type { Member } from '@daisyferry/model/member';
import { Reachability } from '@daisyferry/model/member';
import type { PolicyTable } from '@daisyferry/model/policy-table';
import type { MemberTable } from './member-table';
import type { PeerRpc } from './peer-rpc';
import { PeerMethod } from './peer-rpc';
import type { StatusRevisions } from './rpc-schemas';
import { statusRevisionSchema, statusRevisionsSchema } from './rpc-schemas';

const LEAF_TIMEOUT_MS = 1_000;
const DELEGATE_TIMEOUT_MS = 8_000;
const MAX_CONCURRENT = 32;
const MAX_DELEGATES_TRIED = 2;

interface Answer {
  readonly lagging: { name: string; revision: number }[];
  readonly unreachable: string[];
}

async function forEachBounded<Item>(
  items: readonly Item[],
  action: (item: Item) => Promise<void>,
): Promise<void> {
  const waiting = [...items];
  const work = async (): Promise<void> => {
    for (let item = waiting.shift(); item !== undefined; item = waiting.shift()) {
      await action(item);
    }
  };
  await Promise.all(Array.from({ length: MAX_CONCURRENT }, work));
}

/**
 * Finds the daemons that do not run a revision, in two levels: the asked daemon splits the members
 * into about √n parts and lets one member of each part ask the others.
 */
export class RevisionSurvey {
  constructor(
    private readonly selfName: string,
    private readonly table: MemberTable,
    private readonly policies: PolicyTable,
    private readonly rpc: PeerRpc,
  ) {}

  /** Asks all members that are not dead. */
  async surveyAll(revision: number): Promise<StatusRevisions> {
    const names = this.liveNames();
    const size = Math.max(1, Math.ceil(Math.sqrt(names.length)));
    const parts = Array.from({ length: Math.ceil(names.length / size) }, (_, at) =>
      names.slice(at * size, (at + 1) * size),
    );
    const answer: Answer = { lagging: [], unreachable: [] };
    await forEachBounded(parts, async (part) => {
      const { lagging, unreachable } = await this.delegate(revision, part);
      answer.lagging.push(...lagging);
      answer.unreachable.push(...unreachable);
    });
    return { asked: names.length, ...answer };
  }

  /** Asks the named members, one call each. */
  async surveyMembers(revision: number, names: readonly string[]): Promise<StatusRevisions> {
    const answer: Answer = { lagging: [], unreachable: [] };
    await forEachBounded(names, async (name) => this.askOne(revision, name, answer));
    return { asked: names.length, ...answer };
  }

  private async delegate(revision: number, part: readonly string[]): Promise<StatusRevisions> {
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

  private async askOne(revision: number, name: string, answer: Answer): Promise<void> {
    const held = await this.revisionOf(name);
    if (held === undefined) answer.unreachable.push(name);
    else if (held < revision) answer.lagging.push({ name, revision: held });
  }

  private async revisionOf(name: string): Promise<number | undefined> {
    if (name === this.selfName) return this.policies.revision;
    const member: Member | undefined = this.table.memberNamed(name)?.member;
    if (member === undefined) return undefined;
    const result = await this.rpc.call(member, PeerMethod.statusRevision, {}, LEAF_TIMEOUT_MS);
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
