import type { DrainResult } from '@daisyferry/admin-api/fleet-admin';
import { DrainOutcome } from '@daisyferry/admin-api/fleet-admin';
import type { LocalTarget } from '@daisyferry/callpath/local-target';
import type { MemberDirectory } from '@daisyferry/model/member';
import type { PolicyTable } from '@daisyferry/model/policy-table';
import type { Scheduler } from '@daisyferry/model/scheduler';
import type { DaemonSettings } from '@daisyferry/settings/daemon-settings';
import type { JSONRPCServer } from 'json-rpc-2.0';
import { z } from 'zod';
import { decideDrain } from './drain-guard';
import type { HttpPeerRpc } from './http-peer-rpc';
import type { TargetControl } from './target-control';

export interface DrainControlParts {
  readonly settings: DaemonSettings;
  readonly directory: MemberDirectory;
  readonly policies: PolicyTable;
  readonly target: LocalTarget;
  readonly targetControl: TargetControl;
  readonly rpc: HttpPeerRpc;
  readonly scheduler: Scheduler;
  readonly callsInProgress: () => number;
}

const DRAIN_METHOD = 'target.drain';
const RPC_TIMEOUT_MS = 2_000;

const drainParamsSchema = z.strictObject({ force: z.boolean() });

const drainResultSchema = z.object({
  outcome: z.enum(['begun', 'refused', 'unknown']),
  reason: z.string(),
  daemon: z.string(),
  targetState: z.enum(['warming', 'serving', 'leaving', 'absent', 'left']),
  inFlight: z.int().min(0),
});

/** Drains the target of this daemon or of a named peer. */
export class DrainControl {
  constructor(private readonly parts: DrainControlParts) {}

  /** Registers the RPC method through which other daemons request a drain of this target. */
  register(server: JSONRPCServer): void {
    server.addMethod(DRAIN_METHOD, (params: unknown) => {
      const parsed = drainParamsSchema.safeParse(params);
      return this.drainLocal(parsed.success && parsed.data.force);
    });
  }

  async drain(daemon: string | undefined, force: boolean): Promise<DrainResult> {
    if (daemon === undefined || daemon === this.parts.settings.name) return this.drainLocal(force);
    const member = this.parts.directory.memberNamed(daemon)?.member;
    if (member === undefined) return this.refused(daemon, 'no such daemon is known');
    const result = await this.parts.rpc.call(member, DRAIN_METHOD, { force }, RPC_TIMEOUT_MS);
    const parsed = drainResultSchema.safeParse(result.ok ? result.value : undefined);
    if (parsed.success) return parsed.data;
    const reason = result.ok ? 'the daemon gave no readable answer' : result.detail;
    return { outcome: DrainOutcome.unknown, reason, daemon, inFlight: 0 };
  }

  private drainLocal(force: boolean): DrainResult {
    const { settings, directory, policies, target, targetControl, scheduler } = this.parts;
    const { name, service } = settings;
    if (target.state === 'absent') return this.refused(name, 'no target has announced itself');
    const rule = policies.policyOf(service)?.policy?.drain;
    if (rule !== undefined && target.state !== 'leaving') {
      const decision = decideDrain(name, directory.membersOf(service), rule, force);
      if (decision.kind === 'refused') return this.refused(name, decision.detail);
    }
    targetControl.leave(scheduler.nowMs());
    return { outcome: DrainOutcome.begun, reason: '', ...this.present(name) };
  }

  private refused(daemon: string, reason: string): DrainResult {
    if (daemon !== this.parts.settings.name) {
      return { outcome: DrainOutcome.refused, reason, daemon, inFlight: 0 };
    }
    return { outcome: DrainOutcome.refused, reason, ...this.present(daemon) };
  }

  private present(daemon: string) {
    const { target, callsInProgress } = this.parts;
    return { daemon, targetState: target.state, inFlight: callsInProgress() };
  }
}
