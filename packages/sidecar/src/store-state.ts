/** Whether this daemon currently watches the store. */
export class StoreState {
  private isWatchUp = false;

  /** True while the watch of the daemons' records is up. */
  get isWatching(): boolean {
    return this.isWatchUp;
  }

  setWatching(isWatching: boolean): void {
    this.isWatchUp = isWatching;
  }
}
