/** What this daemon knows of its way to the store. */
export class StoreState {
  private following = false;

  /** True while the records of the daemons are followed. */
  get isFollowing(): boolean {
    return this.following;
  }

  setFollowing(isFollowing: boolean): void {
    this.following = isFollowing;
  }
}
