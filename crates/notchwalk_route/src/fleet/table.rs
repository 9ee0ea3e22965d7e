//! The table of registered servers and its indexes.

use std::{
    cmp::Reverse,
    collections::{hash_map::Entry, HashMap},
    net::SocketAddr,
};

use slotmap::SlotMap;

use super::{Server, ServerKey, ServerRecord};

/// The registered servers, with indexes by what their registrations say.
///
/// A registration may change in any field or go at any time, since other programs write to
/// the store as well. Registrations therefore change only here, together with the indexes.
#[derive(Debug, Default)]
pub(super) struct ServerTable {
    servers: SlotMap<ServerKey, Server>,
    by_instance: HashMap<String, ServerKey>,
    by_short_id: HashMap<u32, ServerKey>,
    /// The servers of each service that has any, in the same order on all nodes.
    by_service: HashMap<String, Vec<ServerKey>>,
}

impl ServerTable {
    pub fn get(&self, key: ServerKey) -> Option<&Server> {
        self.servers.get(key)
    }

    pub fn get_mut(&mut self, key: ServerKey) -> Option<&mut Server> {
        self.servers.get_mut(key)
    }

    /// Returns all servers.
    pub fn iter(&self) -> impl Iterator<Item = (ServerKey, &Server)> {
        self.servers.iter()
    }

    /// Returns the instance ids of all servers.
    pub fn instances(&self) -> impl Iterator<Item = &str> {
        self.by_instance.keys().map(String::as_str)
    }

    pub fn by_instance(&self, instance: &str) -> Option<ServerKey> {
        self.by_instance.get(instance).copied()
    }

    pub fn by_short_id(&self, short_id: u32) -> Option<ServerKey> {
        self.by_short_id.get(&short_id).copied()
    }

    pub fn of_service(&self, service: &str) -> &[ServerKey] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the server at an address that `is_wanted` accepts. Of several, it is the one
    /// that started last: the others may have ended and left their address to it.
    pub fn at_addr(
        &self,
        addr: SocketAddr,
        is_wanted: impl Fn(ServerKey, &Server) -> bool,
    ) -> Option<ServerKey> {
        let servers = self.servers.iter();
        let servers =
            servers.filter(|(key, server)| server.record().addr == addr && is_wanted(*key, server));
        let order = |server: &Server| {
            let record = server.record();
            (record.started_ms, Reverse(record.instance.clone()))
        };
        servers
            .max_by_key(|(_, server)| order(server))
            .map(|(key, _)| key)
    }

    /// Adds a server whose instance id is not registered.
    pub fn insert(&mut self, server: Server) -> ServerKey {
        let record = server.record().clone();
        let short_id = server.short_id;
        let key = self.servers.insert(server);
        self.by_instance.insert(record.instance, key);
        self.by_short_id.insert(short_id, key);
        self.add_to_service(&record.service, key);
        key
    }

    /// Applies a newer registration of the same incarnation.
    pub fn update(&mut self, key: ServerKey, record: ServerRecord) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        let (before, service) = (server.record().service.clone(), record.service.clone());
        server.update(record);
        if before != service {
            self.remove_from_service(&before, key);
            self.add_to_service(&service, key);
        }
    }

    pub fn remove(&mut self, key: ServerKey) -> Option<Server> {
        let server = self.servers.remove(key)?;
        let record = server.record();
        self.by_instance.remove(&record.instance);
        // Another incarnation may have the same short id.
        if self.by_short_id(server.short_id) == Some(key) {
            self.by_short_id.remove(&server.short_id);
        }
        self.remove_from_service(&record.service, key);
        Some(server)
    }

    fn add_to_service(&mut self, service: &str, key: ServerKey) {
        let keys = self.by_service.entry(service.to_owned()).or_default();
        keys.push(key);
        let servers = &self.servers;
        keys.sort_by_key(|&key| servers.get(key).map(|server| server.short_id));
    }

    fn remove_from_service(&mut self, service: &str, key: ServerKey) {
        let Entry::Occupied(mut entry) = self.by_service.entry(service.to_owned()) else {
            return;
        };
        entry.get_mut().retain(|&other| other != key);
        if entry.get().is_empty() {
            entry.remove();
        }
    }
}
