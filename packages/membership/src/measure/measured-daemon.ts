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
import { ByteCounter } from './byte-counter';
import { CountingPeerRpc, serveCountedPeerRpc } from './counting-peer-rpc';
import { measureClock, measureRandom } from './measure-clock';
import type { FleetPorts, ScalePlan } from './scale-plan';
import { SCALE_CLUSTER, SCALE_SUBJECT, scaleMember } from './scale-plan';

const LOOPBACK = '127.0.0.1';
const NO_STORE = { ok: false, kind: 'refused', detail: 'no store' } as const;

/** The control components of one daemon on real sockets. */
export interface MeasuredDaemon {
  readonly task: MembershipTask;
  readonly replica: MemoryPolicyReplica;
  readonly rpcBytes: ByteCounter;
  /** Joins the fleet; resolves when the daemon is ready to admit calls. */
  join(): Promise<void>;
}

function measuredMember(fleet: FleetPorts, peerPort: number): Member {
  const template = scaleMember(0, 0, { ...fleet, peerPort });
  const id = { name: SCALE_SUBJECT, incarnation: 'f'.repeat(16) };
  return { ...template, id, address: LOOPBACK };
}

/** Forwards policy revision rumors to the policy puller, once it exists. */
class MeasuredDaemonListener implements MembershipListener {
  policyPuller: PolicyPuller | undefined;

  onMemberChanged(): void {
    // The measured daemon routes no calls.
  }

  onPolicyRumor(revision: number, from: Member): void {
    this.policyPuller?.handleRumor(revision, from);
  }

  onSuperseded(): void {
    // No other process uses this name.
  }
}

/** Starts the control components of one daemon without joining the fleet. */
export async function startMeasuredDaemon(
  plan: ScalePlan,
  fleet: FleetPorts,
): Promise<MeasuredDaemon> {
  const random = measureRandom(plan.seed + 1);
  const rpcBytes = new ByteCounter();
  const rpc = new CountingPeerRpc(rpcBytes);
  const replica = new MemoryPolicyReplica();
  const methods = new JSONRPCServer();
  const { port } = await serveCountedPeerRpc(methods, LOOPBACK, rpcBytes);
  const daemonListener = new MeasuredDaemonListener();
  const task = new MembershipTask({
    bind: { address: LOOPBACK, port: 0 },
    scheduler: measureClock,
    listener: daemonListener,
    gossip: { self: measuredMember(fleet, port), cluster: SCALE_CLUSTER, random },
  });
  const announce = (revision: number): void => task.announcePolicyRevision(revision);
  const control = { replica, rpc, scheduler: measureClock, random, onApplied: announce };
  daemonListener.policyPuller = new PolicyPuller(control);
  const survey = new RevisionSurvey(SCALE_SUBJECT, task.table, replica, rpc);
  registerPeerMethods(methods, { replica, table: task.table, survey, nowMs: measureClock.nowMs });
  await task.start();
  const members = new MemberTableFetcher({
    selfName: SCALE_SUBJECT,
    table: task.table,
    rpc,
    random,
    onMembers: (statuses) => task.mergeMembers(statuses),
  });
  const join = async (): Promise<void> =>
    new Promise((resolve) => {
      task.join([{ address: LOOPBACK, port: fleet.gossipPort }]);
      const store = { greatestRevision: async () => NO_STORE, readAll: async () => NO_STORE };
      new BootstrapTask({ ...control, members, store, onReady: resolve }).start();
    });
  return { task, replica, rpcBytes, join };
}
