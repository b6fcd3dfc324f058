import type { Socket } from 'node:dgram';
import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { Reachability } from '@daisyferry/model/member';
import type { RandomSource } from '@daisyferry/model/scheduler';
import { JSONRPCServer } from 'json-rpc-2.0';
import { DEFAULT_GOSSIP_TUNING } from '../gossip-options';
import type { MemberRecord } from '../member-record';
import { toMemberRow } from '../member-row';
import { MemberTable } from '../member-table';
import { PeerMethod } from '../peer-rpc';
import { membersSnapshotParamsSchema, policyDeltaParamsSchema } from '../rpc-schemas';
import { ByteCounter } from './byte-counter';
import type { FleetUpdate } from './fleet-churn';
import { FleetChurn } from './fleet-churn';
import { FleetSimulator } from './fleet-simulator';
import { CountingPeerRpc, serveCountedPeerRpc } from './counting-peer-rpc';
import { runAtRate, measureClock, measureRandom } from './measure-clock';
import type { FleetPorts, ScalePlan } from './scale-plan';
import { SCALE_CLUSTER, SCALE_SUBJECT, scaleMember } from './scale-plan';
import { ScalePolicies } from './scale-policies';

const ANY_ADDRESS = '0.0.0.0';
const MS_PER_SECOND = 1_000;
const SECONDS_PER_DAY = 86_400;
const STEP_INTERVAL_MS = 3_000;
const PULL_TIMEOUT_MS = 3_000;

function fillTable(table: MemberTable, plan: ScalePlan, ports: FleetPorts): void {
  const nowMs = measureClock.nowMs();
  for (let number = 0; number < plan.members - 1; number += 1) {
    table.put(scaleMember(number, 0, ports), 0, Reachability.alive, nowMs);
  }
}

function createFleetMethods(table: MemberTable, policies: ScalePolicies): JSONRPCServer {
  const server = new JSONRPCServer();
  server.addMethod(PeerMethod.statusRevision, () => ({ revision: policies.revision, ready: true }));
  server.addMethod(PeerMethod.policyDelta, (params: unknown) =>
    policies.deltaSince(policyDeltaParamsSchema.parse(params).fromRevision),
  );
  server.addMethod(PeerMethod.membersSnapshot, (params: unknown) => {
    const { bits, index } = membersSnapshotParamsSchema.parse(params);
    const records = table.digest.refsInBucket(bits, index).map((ref) => table.recordByRef(ref));
    const rows = records.filter((record) => record !== undefined).map(toMemberRow);
    return { total: table.liveCount, rows };
  });
  return server;
}

function simulateChurn(
  plan: ScalePlan,
  churn: FleetChurn,
  random: RandomSource,
  disseminate: (update: FleetUpdate) => void,
): void {
  const runSteps = (steps: readonly ((nowMs: number) => FleetUpdate)[]): void => {
    steps.forEach((step, at) => {
      setTimeout(() => disseminate(step(measureClock.nowMs())), at * STEP_INTERVAL_MS);
    });
  };
  runAtRate(plan.replacementsPerDay / SECONDS_PER_DAY, random, () => runSteps(churn.replacement()));
  runAtRate(plan.failuresPerDay / SECONDS_PER_DAY, random, () => runSteps(churn.failure()));
}

/** Pulls policies from the measured daemon as often as a daemon receives pulls on average. */
class SubjectPuller {
  private readonly rpc = new CountingPeerRpc(new ByteCounter());

  private pulledRevision = 0;

  constructor(private readonly table: MemberTable) {}

  pull(revision: number): void {
    const fromRevision = this.pulledRevision;
    if (revision <= fromRevision) return;
    this.pulledRevision = revision;
    const subject: MemberRecord | undefined = this.table.recordNamed(SCALE_SUBJECT);
    if (fromRevision === 0 || subject === undefined) return;
    const params = { fromRevision };
    this.rpc
      .call(subject.member, PeerMethod.policyDelta, params, PULL_TIMEOUT_MS)
      .catch(() => undefined);
  }
}

async function bindSocket(): Promise<Socket> {
  const socket = createSocket('udp4');
  socket.bind(0, ANY_ADDRESS);
  await once(socket, 'listening');
  return socket;
}

/** Simulates all members but one until the process exits. */
export async function runFleet(plan: ScalePlan): Promise<FleetPorts> {
  const random = measureRandom(plan.seed);
  const table = new MemberTable();
  const policies = new ScalePolicies(plan.policies);
  const socket = await bindSocket();
  const methods = createFleetMethods(table, policies);
  const { port } = await serveCountedPeerRpc(methods, ANY_ADDRESS, new ByteCounter());
  const ports = { gossipPort: socket.address().port, peerPort: port };
  fillTable(table, plan, ports);
  const puller = new SubjectPuller(table);
  const simulator = new FleetSimulator({
    cluster: SCALE_CLUSTER,
    table,
    socket,
    random,
    revision: () => policies.revision,
    onSubjectRevision: (revision) => puller.pull(revision),
  });
  const churn = new FleetChurn(table, plan.members - 1, ports, random);
  simulateChurn(plan, churn, random, (update) => simulator.disseminate(update));
  runAtRate(MS_PER_SECOND / DEFAULT_GOSSIP_TUNING.probePeriodMs, random, () => simulator.ping());
  runAtRate(plan.policyChangesPerDay / SECONDS_PER_DAY, random, () => {
    policies.change(Math.floor(random() * plan.policies));
    simulator.announceRevision();
  });
  return ports;
}
