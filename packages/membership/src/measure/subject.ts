import type { Member } from '@daisyferry/model/member';
import { JSONRPCServer } from 'json-rpc-2.0';
import { MemoryPolicyReplica } from '@daisyferry/policies/memory-policy-replica';
import { MemberTableFetcher } from '../member-table-fetcher';
import type { MembershipListener } from '../membership-task';
import { MembershipTask } from '../membership-task';
import { BootstrapTask } from '../bootstrap-task';
import { PolicyPuller } from '../policy-puller';
import { RevisionSurvey } from '../revision-survey';
import { registerPeerMethods } from '../rpc-methods';
import { ByteCount } from './byte-count';
import { HttpPeerRpc, servePeerRpc } from './http-peer-rpc';
import { measureClock, measureRandom } from './measure-clock';
import type { FleetPorts, ScalePlan } from './scale-plan';
import { SCALE_CLUSTER, SCALE_SUBJECT, scaleMember } from './scale-plan';

const LOOPBACK = '127.0.0.1';
const NO_STORE = { ok: false, kind: 'refused', detail: 'no store' } as const;

/** One daemon's control parts on real sockets. */
export interface Subject {
  readonly task: MembershipTask;
  readonly replica: MemoryPolicyReplica;
  readonly rpcBytes: ByteCount;
  /** Joins the fleet; resolves when the daemon would admit calls. */
  join(): Promise<void>;
}

function subjectMember(fleet: FleetPorts, peerPort: number): Member {
  const like = scaleMember(0, 0, { ...fleet, peerPort });
  const id = { name: SCALE_SUBJECT, incarnation: 'f'.repeat(16) };
  return { ...like, id, address: LOOPBACK };
}

/** Hands rumours of revisions to the delivery, once that exists. */
class SubjectHooks implements MembershipListener {
  delivery: PolicyPuller | undefined;

  onMemberChanged(): void {
    // Nothing routes calls here.
  }

  onPolicyRumor(revision: number, from: Member): void {
    this.delivery?.handleRumor(revision, from);
  }

  onSuperseded(): void {
    // No other process has this name.
  }
}

/** Starts the parts of one daemon that control needs, not yet joined. */
export async function startSubject(plan: ScalePlan, fleet: FleetPorts): Promise<Subject> {
  const random = measureRandom(plan.seed + 1);
  const rpcBytes = new ByteCount();
  const rpc = new HttpPeerRpc(rpcBytes);
  const replica = new MemoryPolicyReplica();
  const methods = new JSONRPCServer();
  const { port } = await servePeerRpc(methods, LOOPBACK, rpcBytes);
  const hooks = new SubjectHooks();
  const task = new MembershipTask({
    bind: { address: LOOPBACK, port: 0 },
    scheduler: measureClock,
    listener: hooks,
    gossip: { self: subjectMember(fleet, port), cluster: SCALE_CLUSTER, random },
  });
  const announce = (revision: number): void => task.announcePolicyRevision(revision);
  const control = { replica, rpc, scheduler: measureClock, random, onApplied: announce };
  hooks.delivery = new PolicyPuller(control);
  const survey = new RevisionSurvey(SCALE_SUBJECT, task.table, replica, rpc);
  registerPeerMethods(methods, { replica, table: task.table, survey, nowMs: measureClock.nowMs });
  await task.start();
  const members = new MemberTableFetcher({
    selfName: SCALE_SUBJECT,
    table: task.table,
    rpc,
    random,
    onMembers: (facts) => task.mergeMembers(facts),
  });
  const join = async (): Promise<void> =>
    new Promise((resolve) => {
      task.join([{ address: LOOPBACK, port: fleet.gossipPort }]);
      const store = { greatestRevision: async () => NO_STORE, readAll: async () => NO_STORE };
      new BootstrapTask({ ...control, members, store, onReady: resolve }).start();
    });
  return { task, replica, rpcBytes, join };
}
