build-address-undefined/src/config/config_template.o: \
 src/config/config_template.c src/config/config.h src/base/base.h
src/config/config.h:
src/base/base.h:
