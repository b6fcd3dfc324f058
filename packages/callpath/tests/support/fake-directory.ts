import type { Member, MemberDirectory, MemberView } from '@daisyferry/model/member';

/** A member directory whose content is set by a test. */
export class FakeDirectory implements MemberDirectory {
  epoch = 0;

  private readonly members = new Map<string, Member>();

  setMember(member: Member): void {
    this.epoch += 1;
    this.members.set(member.id.name, member);
  }

  membersOf(service: string): readonly MemberView[] {
    return [...this.members.values()]
      .filter((member) => member.service === service)
      .map((member) => ({ member, reachability: 'alive' }));
  }

  memberNamed(name: string): MemberView | undefined {
    const member = this.members.get(name);
    return member === undefined ? undefined : { member, reachability: 'alive' };
  }
}
