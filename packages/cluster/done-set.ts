/** The completed tasks of a job as a bit set, which is encoded as ranges ("0-41,44"). */

/** A set of task indexes to which indexes can only be added. */
export class DoneSet {
  private bits = new Uint8Array(0);
  private size = 0;
  /** The lowest index that is not in the set. */
  private lowestIncomplete = 0;

  /** Number of completed tasks. */
  get count(): number {
    return this.size;
  }

  /** The lowest index that is not in the set. */
  get firstIncomplete(): number {
    return this.lowestIncomplete;
  }

  /** Returns true if the task is completed. */
  has(index: number): boolean {
    return ((this.bits[index >> 3] ?? 0) & (1 << (index & 7))) !== 0;
  }

  /** Adds a task; has no effect if it is in the set already. */
  add(index: number): void {
    if (this.has(index)) return;
    const byteIndex = index >> 3;
    if (byteIndex >= this.bits.length) {
      const grown = new Uint8Array(Math.max(byteIndex + 1, this.bits.length * 2));
      grown.set(this.bits);
      this.bits = grown;
    }
    this.bits[byteIndex] = (this.bits[byteIndex] ?? 0) | (1 << (index & 7));
    this.size++;
    while (this.has(this.lowestIncomplete)) this.lowestIncomplete++;
  }

  /** Adds all tasks of a job of this size. */
  addAll(size: number): void {
    for (let i = 0; i < size; i++) this.add(i);
  }

  /** Returns the set as ranges in ascending order, such as "0-41" or "44". */
  ranges(): string[] {
    const ranges: string[] = [];
    const end = this.bits.length * 8;
    for (let i = 0; i < end; i++) {
      if (!this.has(i)) continue;
      let last = i;
      while (this.has(last + 1)) last++;
      ranges.push(last === i ? String(i) : `${i}-${last}`);
      i = last;
    }
    return ranges;
  }

  /** Adds ranges in the form that {@link ranges} returns, joined by commas. */
  addRanges(text: string): void {
    for (const part of text.split(',')) {
      if (part === '') continue;
      const [from, to] = part.split('-').map(Number);
      for (let i = from ?? 0; i <= (to ?? from ?? -1); i++) this.add(i);
    }
  }
}
