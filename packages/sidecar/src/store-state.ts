/** Whether this daemon currently follows the store. */
export class StoreState {
  private isWatchUp = false;

  /** True while the watch of the daemons' records is up. */
  get isFollowing(): boolean {
    return this.isWatchUp;
  }

  setFollowing(isFollowing: boolean): void {
    this.isWatchUp = isFollowing;
  }
}
