import type { MemberView, TargetStateName } from '@daisyferry/model/member';
import { describe, expect, it } from 'vitest';
import { decideDrain } from '../src/drain-guard';

const rule = { noNewWorkAfterMs: 2_000, maxWaitMs: 30_000, maxLeavingShare: 0.5 };

function members(states: readonly TargetStateName[]): MemberView[] {
  return states.map((targetState, index) => ({
    reachability: 'alive',
    member: {
      id: { name: `vault-${index}`, incarnation: '0000000000000001' },
      service: 'vault',
      dataCentre: 'quiapo',
      region: 'ncr',
      address: '127.0.0.1',
      peerPort: 1,
      gossipPort: 1,
      slots: 1,
      connections: 1,
      targetState,
      version: 1,
    },
  }));
}

describe('decideDrain', () => {
  it.each([
    { states: ['serving', 'serving', 'serving', 'serving'], force: false, kind: 'allowed' },
    { states: ['serving', 'leaving', 'serving', 'serving'], force: false, kind: 'allowed' },
    { states: ['serving', 'leaving', 'leaving', 'serving'], force: false, kind: 'refused' },
    { states: ['serving', 'leaving', 'leaving', 'serving'], force: true, kind: 'allowed' },
    { states: ['serving'], force: false, kind: 'allowed' },
    { states: ['serving', 'leaving', 'absent', 'absent'], force: false, kind: 'refused' },
  ] as const)('$states with force $force: $kind', ({ states, force, kind }) => {
    expect(decideDrain('vault-0', members(states), rule, force).kind).toBe(kind);
  });
});
