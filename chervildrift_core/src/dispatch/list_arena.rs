//! Doubly linked lists in a shared arena, which allow any element to be removed in constant time.

/// Key that stands for no node.
const NIL: u32 = u32::MAX;

/// Arena that owns the nodes of several lists.
#[derive(Clone, Debug)]
pub struct ListArena<T> {
    nodes: Vec<Node<T>>,
    free: Vec<u32>,
}

#[derive(Clone, Debug)]
struct Node<T> {
    prev: u32,
    next: u32,
    value: Option<T>,
}

/// One list: the keys of its ends and its length.
#[derive(Clone, Copy, Debug)]
pub struct List {
    head: u32,
    tail: u32,
    len: usize,
}

impl List {
    /// Creates an empty list.
    pub const fn new() -> Self {
        Self {
            head: NIL,
            tail: NIL,
            len: 0,
        }
    }

    /// Returns the number of elements.
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Returns the key of the first element.
    pub fn first(&self) -> Option<u32> {
        (self.head != NIL).then_some(self.head)
    }
}

impl<T> ListArena<T> {
    /// Creates an empty arena.
    pub const fn new() -> Self {
        Self {
            nodes: Vec::new(),
            free: Vec::new(),
        }
    }

    /// Returns the element at `key`.
    pub fn get(&self, key: u32) -> Option<&T> {
        self.nodes.get(key as usize)?.value.as_ref()
    }

    /// Returns a mutable reference to the element at `key`.
    pub fn get_mut(&mut self, key: u32) -> Option<&mut T> {
        self.nodes.get_mut(key as usize)?.value.as_mut()
    }

    /// Appends `value` to `list` and returns its key.
    pub fn push(&mut self, list: &mut List, value: T) -> u32 {
        let key = self.allocate(value);
        self.link(list, key);
        key
    }

    /// Removes the element at `key` from `list`.
    pub fn remove(&mut self, list: &mut List, key: u32) -> Option<T> {
        let value = self.nodes.get_mut(key as usize)?.value.take()?;
        self.unlink(list, key);
        self.free.push(key);
        Some(value)
    }

    /// Moves the element at `key` to the end of `list`.
    pub fn move_to_back(&mut self, list: &mut List, key: u32) {
        self.unlink(list, key);
        self.link(list, key);
    }

    fn allocate(&mut self, value: T) -> u32 {
        let node = Node {
            prev: NIL,
            next: NIL,
            value: Some(value),
        };
        if let Some(key) = self.free.pop() {
            self.nodes[key as usize] = node;
            return key;
        }
        self.nodes.push(node);
        self.nodes.len() as u32 - 1
    }

    fn link(&mut self, list: &mut List, key: u32) {
        let tail = list.tail;
        let node = &mut self.nodes[key as usize];
        node.prev = tail;
        node.next = NIL;
        if tail == NIL {
            list.head = key;
        } else {
            self.nodes[tail as usize].next = key;
        }
        list.tail = key;
        list.len += 1;
    }

    fn unlink(&mut self, list: &mut List, key: u32) {
        let Node { prev, next, .. } = self.nodes[key as usize];
        if prev == NIL {
            list.head = next;
        } else {
            self.nodes[prev as usize].next = next;
        }
        if next == NIL {
            list.tail = prev;
        } else {
            self.nodes[next as usize].prev = prev;
        }
        list.len -= 1;
    }
}
