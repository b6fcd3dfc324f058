import type {
  Member,
  MemberDirectory,
  MemberView,
  ReachabilityName,
  TargetStateName,
} from '@daisyferry/model/member';

export interface FakeTarget {
  readonly name: string;
  readonly service?: string;
  readonly dataCentre?: string;
  readonly region?: string;
  readonly state?: TargetStateName;
  readonly reachability?: ReachabilityName;
  readonly incarnation?: string;
}

function memberOf(target: FakeTarget): Member {
  return {
    id: { name: target.name, incarnation: target.incarnation ?? '0'.repeat(16) },
    service: target.service ?? 'vault',
    dataCentre: target.dataCentre ?? 'quiapo',
    region: target.region ?? 'ncr',
    address: '127.0.0.1',
    peerPort: 1,
    gossipPort: 1,
    slots: 10,
    connections: 100,
    targetState: target.state ?? 'serving',
    version: 1,
  };
}

/** A member directory whose content is set by a test. */
export class FakeDirectory implements MemberDirectory {
  epoch = 0;

  private views: readonly MemberView[] = [];

  constructor(targets: readonly FakeTarget[]) {
    this.setTargets(targets);
  }

  setTargets(targets: readonly FakeTarget[]): void {
    this.epoch += 1;
    this.views = targets.map((target) => ({
      member: memberOf(target),
      reachability: target.reachability ?? 'alive',
    }));
  }

  membersOf(service: string): readonly MemberView[] {
    return this.views.filter(({ member }) => member.service === service);
  }

  memberNamed(name: string): MemberView | undefined {
    return this.views.find(({ member }) => member.id.name === name);
  }
}
