import type { MemberView } from '@daisyferry/model/member';
import type { DrainRule } from '@daisyferry/model/policy';

export type DrainDecision =
  { readonly kind: 'allowed' } | { readonly kind: 'refused'; readonly detail: string };

/** Refuses a drain after which more targets would be leaving than the service's policy allows. */
export function decideDrain(
  name: string,
  members: readonly MemberView[],
  rule: DrainRule,
  force: boolean,
): DrainDecision {
  if (force) return { kind: 'allowed' };
  const present = members.filter(({ member }) => member.targetState !== 'absent');
  const others = present.filter(({ member }) => member.id.name !== name);
  const leaving = others.filter(({ member }) => member.targetState === 'leaving').length;
  const allowed = Math.max(1, Math.floor(present.length * rule.maxLeavingShare));
  if (leaving + 1 <= allowed) return { kind: 'allowed' };
  const detail = `${leaving} of ${present.length} instances are leaving; the policy allows ${allowed} at a time`;
  return { kind: 'refused', detail };
}
