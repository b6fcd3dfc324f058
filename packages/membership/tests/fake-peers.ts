import type { Member } from '@daisyferry/model/member';
import { Reachability } from '@daisyferry/model/member';
import type { PolicyRecord } from '@daisyferry/model/policy';
import { VirtualScheduler } from '@daisyferry/model/virtual-scheduler';
import { MemoryPolicyReplica } from '@daisyferry/policies/memory-policy-replica';
import { createJSONRPCRequest, JSONRPCServer } from 'json-rpc-2.0';
import { MemberTable } from '../src/member-table';
import type { PeerRpc, RpcResult } from '../src/peer-rpc';
import { RPC_BUSY_CODE } from '../src/peer-rpc';
import { RevisionSurvey } from '../src/revision-survey';
import { registerPeerMethods } from '../src/rpc-methods';
import { seededRandom, testMember } from './fake-network';

/** A record that withdraws a policy; it needs no document, which policy pulls do not read. */
export function withdrawal(revision: number): PolicyRecord {
  return {
    revision,
    service: `service-${revision}`,
    operationId: `operation-${revision}`,
    author: 'ana',
    acceptedAt: '2026-01-01T00:00:00.000Z',
    policy: null,
  };
}

/** Applies one withdrawal per revision to a replica, up to the given revision. */
export function raiseRevision(replica: MemoryPolicyReplica, revision: number): void {
  const from = replica.revision;
  const records = Array.from({ length: revision - from }, (_, at) => withdrawal(from + at + 1));
  replica.apply({ fromRevision: from, toRevision: revision, records });
}

export interface FakePeer {
  readonly member: Member;
  readonly replica: MemoryPolicyReplica;
  readonly table: MemberTable;
  readonly methods: JSONRPCServer;
  replyMode: 'normal' | 'busy' | 'unresponsive' | 'malformed';
}

/** In-memory peers that reply to JSON-RPC calls, each with its own policies and table. */
export class FakePeers implements PeerRpc {
  readonly scheduler = new VirtualScheduler();

  readonly random = seededRandom(5);

  readonly peers = new Map<string, FakePeer>();

  readonly calls: { readonly to: string; readonly method: string }[] = [];

  add(number: number, revision: number, isReady = true): FakePeer {
    const member = testMember(number);
    const replica = new MemoryPolicyReplica();
    raiseRevision(replica, revision);
    if (isReady) replica.markReady();
    const table = new MemberTable();
    const methods = new JSONRPCServer();
    const survey = new RevisionSurvey(member.id.name, table, replica, this);
    const nowMs = (): number => this.scheduler.nowMs();
    registerPeerMethods(methods, { replica, table, survey, nowMs });
    const peer: FakePeer = { member, replica, table, methods, replyMode: 'normal' };
    this.peers.set(member.id.name, peer);
    return peer;
  }

  /** Adds all peers to a table. */
  addPeersTo(table: MemberTable): MemberTable {
    for (const { member } of this.peers.values()) table.put(member, 0, Reachability.alive, 0);
    return table;
  }

  async call(member: Member, method: string, params: unknown): Promise<RpcResult> {
    this.calls.push({ to: member.id.name, method });
    const peer = this.peers.get(member.id.name);
    if (peer === undefined || peer.replyMode === 'unresponsive') {
      return { ok: false, kind: 'unreachable', detail: 'timeout' };
    }
    if (peer.replyMode === 'busy') return { ok: false, kind: 'busy', detail: 'busy' };
    if (peer.replyMode === 'malformed') return { ok: true, value: { unexpected: true } };
    const response = await peer.methods.receive(createJSONRPCRequest(1, method, params));
    if (response?.error === undefined) return { ok: true, value: response?.result };
    const kind = response.error.code === RPC_BUSY_CODE ? 'busy' : 'failed';
    return { ok: false, kind, detail: response.error.message };
  }
}
