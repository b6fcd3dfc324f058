import { MemoryPolicyReplica } from '@daisyferry/policies/memory-policy-replica';
import { describe, expect, it } from 'vitest';
import { MemberTable } from '../src/member-table';
import { RevisionSurvey } from '../src/revision-survey';
import { FakePeers, raise } from './fake-peers';

describe('revision survey', () => {
  it('names the daemons behind a revision and those that do not answer', async () => {
    const peers = new FakePeers();
    const added = Array.from({ length: 100 }, (_, number) =>
      peers.add(number, number === 42 ? 3 : 5),
    );
    for (const { table } of added) peers.fill(table);
    const silent = added[17];
    if (silent !== undefined) silent.answer = 'silent';
    const replica = new MemoryPolicyReplica();
    raise(replica, 5);
    const table = peers.fill(new MemberTable());
    const survey = new RevisionSurvey('vault-0', table, replica, peers);
    const answer = await survey.surveyAll(5);
    expect(answer).toEqual({
      asked: 100,
      lagging: [{ name: 'vault-42', revision: 3 }],
      unreachable: ['vault-17'],
    });
    expect(peers.calls.filter(({ method }) => method === 'status.revisions').length).toBeLessThan(
      12,
    );
  });
});
