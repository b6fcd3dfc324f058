import { MembershipTask } from '@daisyferry/membership/membership-task';
import { PolicyPuller } from '@daisyferry/membership/policy-puller';
import { RevisionSurvey } from '@daisyferry/membership/revision-survey';
import type { Member, MemberView } from '@daisyferry/model/member';
import { ApplyResult } from '@daisyferry/model/policy-table';
import { PolicyChanges } from '@daisyferry/policies/policy-changes';
import { PolicyReader } from '@daisyferry/policies/policy-reader';
import { MemoryPolicyReplica } from '@daisyferry/policies/memory-policy-replica';
import { PolicyStore } from '@daisyferry/policies/policy-store';
import type { DaemonBase } from './daemon-base';

export interface ControlPlaneContext extends Pick<
  DaemonBase,
  'settings' | 'key' | 'store' | 'rpc' | 'scheduler' | 'random' | 'timeline' | 'logger'
> {
  /** Member record that this daemon publishes at startup. */
  readonly member: Member;
  readonly onSuperseded: (by: Member) => void;
}

/** Components for the state that daemons share: members, policies, their delivery and changes. */
export interface ControlPlane {
  readonly membership: MembershipTask;
  readonly policies: MemoryPolicyReplica;
  readonly policyStore: PolicyStore;
  readonly reader: PolicyReader;
  readonly policyPuller: PolicyPuller;
  readonly changes: PolicyChanges;
  readonly survey: RevisionSurvey;
}

/** Creates the control plane of a daemon without starting it. */
export function buildControlPlane(context: ControlPlaneContext): ControlPlane {
  const { settings, store, rpc, scheduler, random, timeline, logger } = context;
  const policies = new MemoryPolicyReplica();
  const policyStore = new PolicyStore(store, settings.cluster, settings.store.timeoutMs);
  let announce: (revision: number) => void = () => undefined;
  const onApplied = (revision: number): void => {
    announce(revision);
    timeline.emit({ kind: 'policy.applied', detail: String(revision) });
    logger.info({ revision }, 'policies applied');
  };
  const policyPuller = new PolicyPuller({ replica: policies, rpc, scheduler, random, onApplied });
  const membership = new MembershipTask({
    bind: settings.listeners.gossip,
    scheduler,
    gossip: {
      self: context.member,
      cluster: settings.cluster,
      random,
      ...(context.key === undefined ? {} : { key: context.key }),
    },
    listener: {
      onMemberChanged: ({ member, reachability }: MemberView) =>
        timeline.emit({
          kind: 'member.state',
          service: member.service,
          detail: `${member.id.name} ${reachability} ${member.targetState}`,
        }),
      onPolicyRumor: (revision, from) => policyPuller.handleRumor(revision, from),
      onSuperseded: context.onSuperseded,
    },
  });
  announce = (revision) => membership.announcePolicyRevision(revision);
  const reader = new PolicyReader({
    store,
    policyStore,
    replica: policies,
    scheduler,
    random,
    onApplied,
    onRegressed: (storeRevision, appliedRevision) =>
      logger.error({ storeRevision, appliedRevision }, 'store is behind the applied policies'),
    onStoreAvailabilityChange: (available) => {
      timeline.emit({ kind: 'store.state', detail: available ? 'available' : 'unavailable' });
      logger.warn({ available }, 'store availability changed');
    },
  });
  const changes = new PolicyChanges({
    store,
    policyStore,
    scheduler,
    random,
    appliedRevision: () => policies.revision,
    onWritten: (record) => {
      const { revision } = record;
      const delta = { fromRevision: revision - 1, toRevision: revision, records: [record] };
      if (policies.apply(delta) === ApplyResult.applied) onApplied(revision);
    },
  });
  const survey = new RevisionSurvey(settings.name, membership.table, policies, rpc);
  return { membership, policies, policyStore, reader, policyPuller, changes, survey };
}
