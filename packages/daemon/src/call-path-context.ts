import type { LocalTarget } from '@daisyferry/callpath/local-target';
import type { MemberDirectory } from '@daisyferry/model/member';
import type { PolicyTable } from '@daisyferry/model/policy-table';
import type { DaemonBase } from './daemon-base';

/** Dependencies of the components that serve calls. */
export interface CallPathContext extends Pick<
  DaemonBase,
  'settings' | 'self' | 'codec' | 'targetPools' | 'peerPools' | 'scheduler' | 'random' | 'timeline'
> {
  readonly directory: MemberDirectory;
  readonly policies: PolicyTable;
  readonly target: LocalTarget;
  readonly newId: () => string;
}
