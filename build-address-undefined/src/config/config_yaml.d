build-address-undefined/src/config/config_yaml.o: \
 src/config/config_yaml.c src/config/config_int.h src/config/config.h \
 src/base/base.h
src/config/config_int.h:
src/config/config.h:
src/base/base.h:
